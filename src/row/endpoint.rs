//! Row of an endpoint.

use serde::{Deserialize, Serialize};

use crate::name::JobId;

/// What one gang member holds on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSeat {
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: u32,
    /// Member, from 0.
    pub member: u16,
    /// Indices of the accelerators.
    pub accelerators: Vec<u16>,
}

/// `worker/<pool>/<endpoint>`: what is taken there.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// What is held.
    pub held: Vec<HeldSeat>,
    /// Why it is quarantined, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<String>,
}
