//! Outcomes of jobs.

use serde::{Deserialize, Serialize};

/// Outcome of a job, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The job ran to its end; holds the whole answer.
    Completed {
        /// Answer of the job.
        answer: serde_json::Value,
    },
    /// The job ran and failed, or was stopped and will not be resumed.
    Failed {
        /// Human-readable reason.
        reason: String,
    },
    /// The job has not started and never will.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// Human-readable form of the reason.
        message: String,
    },
    /// The caller cancelled the job.
    Cancelled {
        /// Whether any part of the job ran.
        ran: bool,
    },
    /// The job may have run; a later request with the same id may tell more.
    Unknown {
        /// Human-readable description of what is unknown.
        reason: String,
    },
}

impl Outcome {
    /// Whether this outcome is final; [`Outcome::Unknown`] can still be replaced when more is known.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

/// Reason why a job was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// A queue or limit is full.
    Busy,
    /// The platform's table cannot be reached.
    Unavailable,
    /// The instance is shutting down.
    Draining,
    /// The deadline passed before the job was started.
    Deadline,
    /// No endpoint or rack of the fleet is large enough for the shape.
    Impossible,
    /// Endpoints refused to start the job.
    Refused,
    /// The team or kind does not exist, or the team may not run the kind.
    NotAllowed,
}
