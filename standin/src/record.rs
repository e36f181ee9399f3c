//! Event log of an endpoint. Checkers rely on it alone, never on what the instances report.

use serde::{Deserialize, Serialize};
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::time::Millis;

/// Event of one member of an attempt on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// Resources were reserved.
    Held,
    /// The task or call started.
    Started,
    /// It completed.
    Finished,
    /// It failed.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// It was refused before it started.
    Refused,
    /// The endpoint died while it was active.
    Died,
}

/// Entry of an endpoint's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the event.
    pub at: Millis,
    /// Endpoint on which it happened.
    #[serde(rename = "worker")]
    pub endpoint: EndpointName,
    /// Job.
    pub job: JobId,
    /// Attempt of the job.
    pub attempt: u32,
    /// Index of the member; 0 for a call.
    pub member: u16,
    /// Number of members in the gang; 1 for a call.
    pub members: u16,
    /// Whether the attempt resumed from a checkpoint.
    pub resumed: bool,
    /// Event.
    #[serde(rename = "deed")]
    pub event: TaskEvent,
}
