//! Errors in job graphs.

use thiserror::Error;

/// Reason why a job graph is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GraphError {
    /// The job has no steps.
    #[error("the job has no steps; at least one is required")]
    NoSteps,
    /// The job has too many tasks.
    #[error("the job has {found} tasks over all occurrences; at most {limit} are allowed")]
    TooManyTasks {
        /// Most tasks, over all steps and occurrences.
        limit: u64,
        /// Number of tasks, over all steps and occurrences.
        found: u64,
    },
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step depends on itself or a later step.
    #[error("step {step} depends on step {after}, which is not an earlier step")]
    StepOrder {
        /// The step, counted from 0.
        step: usize,
        /// The step that it depends on, counted from 0.
        after: u32,
    },
    /// The payload is too large.
    #[error("the payload has {found} bytes; at most {limit} are allowed")]
    PayloadTooLarge {
        /// Largest payload, in bytes.
        limit: usize,
        /// Size of the payload, in bytes.
        found: usize,
    },
}
