//! Hints to other instances.

use crate::name::{JobId, PoolName};

/// News that saves another instance from waiting for its next look; losing one costs time only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Hint {
    /// A pool has a job that is new or cancelled.
    Wake {
        /// The pool.
        pool: PoolName,
        /// The job.
        job: JobId,
    },
    /// A job ended.
    Ended(JobId),
    /// This instance's ticket and whether its session is live.
    Head {
        /// Number of the ticket.
        ticket: u64,
        /// Whether the session is live.
        live: bool,
    },
}
