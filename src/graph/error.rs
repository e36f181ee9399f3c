//! Reasons why a job graph is refused.

use thiserror::Error;

/// Reason why a job graph is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GraphError {
    /// A job without steps.
    #[error("a job needs at least one step")]
    NoSteps,
    /// More tasks than one job may have.
    #[error("a job has at most {limit} tasks, this one has {found}")]
    TooManyTasks {
        /// Largest number of tasks, all steps together.
        limit: u64,
        /// Number of tasks in the job.
        found: u64,
    },
    /// A step without tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step that waits for itself or a later one.
    #[error("step {step} comes after step {after}, which is not an earlier one")]
    StepOrder {
        /// The step, counted from 0.
        step: usize,
        /// The step that it names.
        after: u32,
    },
    /// A payload above the limit.
    #[error("the payload has {found} bytes, more than {limit}")]
    PayloadTooLarge {
        /// Largest payload, in bytes.
        limit: usize,
        /// Size of this one, in bytes.
        found: usize,
    },
}
