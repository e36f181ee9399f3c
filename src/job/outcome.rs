//! How a job ended.

use serde::{Deserialize, Serialize};

/// Final state of a job, as told to its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to its end; the whole answer is here.
    Completed {
        /// What the job returned.
        answer: serde_json::Value,
    },
    /// Ran and failed, or was stopped for good.
    Failed {
        /// Reason, for a person.
        reason: String,
    },
    /// Never started and never will.
    NotRun {
        /// Why not.
        reason: NotRunReason,
        /// The same for a person.
        message: String,
    },
    /// Ended by its caller.
    Cancelled {
        /// Whether any part of it ran.
        ran: bool,
    },
    /// May have run; the same id can be asked again.
    Unknown {
        /// What is in doubt, for a person.
        reason: String,
    },
}

impl Outcome {
    /// Whether this outcome can still change when more is learnt.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

/// Why a job was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// A queue or limit is full.
    Busy,
    /// The platform's table cannot be reached.
    Unavailable,
    /// The instance is shutting down.
    Draining,
    /// The deadline passed before a start.
    Deadline,
    /// No endpoint or rack can ever hold the shape.
    Impossible,
    /// Endpoints refused to start it.
    Refused,
    /// The team or kind does not exist or may not run it.
    NotAllowed,
}
