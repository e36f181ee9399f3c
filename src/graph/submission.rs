//! An accepted job.

use prost::Message;

use super::JobGraph;

/// A job as it was accepted; written once.
#[derive(Clone, PartialEq, Message)]
pub struct Submission {
    /// Queue that took the job.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Team whose key the caller used; empty on an open queue.
    #[prost(string, tag = "2")]
    pub team: String,
    /// The job.
    #[prost(message, required, tag = "3")]
    pub graph: JobGraph,
    /// Time of acceptance, in milliseconds since 1970; only its age is used, and only roughly.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
}
