//! Rows of endpoints.

use serde::{Deserialize, Serialize};

use crate::name::JobId;

/// Seat that a gang member holds on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSeat {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the member, from 0.
    pub member: u16,
    /// Indices of the accelerators that it holds.
    pub accelerators: Vec<u16>,
}

/// `worker/<pool>/<endpoint>`: seats held on an endpoint.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Held seats.
    pub held: Vec<HeldSeat>,
    /// Reason for the quarantine of the endpoint, if it is quarantined.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<String>,
}
