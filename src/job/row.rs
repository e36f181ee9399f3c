//! A job's row in the table.

use serde::{Deserialize, Serialize};

use super::{JobSpec, Outcome};
use crate::name::{InstanceName, JobId, PoolName, WorkerName};

/// Place of one gang member on a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat {
    /// The worker.
    pub worker: WorkerName,
    /// Indices of its accelerators that the member holds.
    pub accelerators: Vec<u16>,
}

/// How far a job has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Waits for a place.
    Queued,
    /// Has places; members are being prepared and nothing runs.
    Placed {
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats lie in the team's guarantee.
        guaranteed: bool,
    },
    /// All members hold their places and have been, or are being, released.
    Running {
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats lie in the team's guarantee.
        guaranteed: bool,
    },
    /// Non-idempotent call that may have been sent.
    Sent {
        /// Worker it was sent to.
        worker: WorkerName,
        /// Instance that sent it.
        sender: InstanceName,
    },
    /// Over.
    Ended {
        /// How.
        outcome: Outcome,
    },
}

/// A job as the table holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job's name.
    pub id: JobId,
    /// What was asked.
    pub spec: JobSpec,
    /// SHA-256 of the submitted body, as hex, to tell a repeat from a conflict.
    pub digest: String,
    /// Pool that plans it.
    pub pool: PoolName,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// How far it has come.
    #[serde(flatten)]
    pub phase: Phase,
    /// Whether its caller wants it ended.
    #[serde(default)]
    pub cancel: bool,
    /// Whether any attempt was released, so that it may have run.
    #[serde(default)]
    pub started: bool,
    /// Object that holds the newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// W3C `traceparent` of the submitting request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
}
