//! Row of a worker.

use serde::{Deserialize, Serialize};

use crate::name::JobId;

/// What one gang member holds on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: u32,
    /// Member, from 0.
    pub member: u16,
    /// Indices of the accelerators.
    pub accelerators: Vec<u16>,
}

/// `worker/<pool>/<worker>`: what is taken there.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// What is held.
    pub held: Vec<Held>,
    /// Why it is quarantined, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<String>,
}
