//! Stored state of a job.

use prost::Message;

use super::UnitRecord;

/// State of a job as it is stored.
#[derive(Clone, PartialEq, Message)]
pub struct JobRecord {
    /// Units that have been started at least once.
    #[prost(message, repeated, tag = "1")]
    pub units: Vec<UnitRecord>,
}
