//! Accepted jobs.

use prost::Message;

use super::{JobGraph, QueueSettings};

/// An accepted job; written once and never changed.
#[derive(Clone, PartialEq, Message)]
pub struct Submission {
    /// Queue that accepted the job.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Team whose key the caller used; empty if the queue is open.
    #[prost(string, tag = "2")]
    pub team: String,
    /// The job.
    #[prost(message, required, tag = "3")]
    pub graph: JobGraph,
    /// Time of acceptance, in milliseconds since 1970. Only the age is derived from it, and need not be exact.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Settings of the queue at that time; older rows have none.
    #[prost(message, optional, tag = "5")]
    pub settings: Option<QueueSettings>,
}
