//! What an endpoint did, in its own words. Checkers trust nothing else.

use serde::{Deserialize, Serialize};
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::time::Millis;

/// Something that happened to an attempt on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// A place was taken and held.
    Held,
    /// It started to run.
    Started,
    /// It ran to its end.
    Finished,
    /// It ended with an error.
    Failed,
    /// It was stopped on command.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// It was refused before it started.
    Refused,
    /// The endpoint died under it.
    Died,
}

/// One line of an endpoint's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub at: Millis,
    /// Where.
    #[serde(rename = "worker")]
    pub endpoint: EndpointName,
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: u32,
    /// Member; 0 for a call.
    pub member: u16,
    /// Number of members in the gang; 1 for a call.
    pub members: u16,
    /// Whether the attempt resumed from a checkpoint.
    pub resumed: bool,
    /// What happened.
    #[serde(rename = "deed")]
    pub event: TaskEvent,
}
