//! Errors of the planner.

use thiserror::Error;

use crate::platform::TableError;

/// Why a planner could not go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlannerError {
    /// Another instance holds the pool.
    #[error("another instance has taken the pool over")]
    Fenced,
    /// The table failed; the step can be repeated.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row's content cannot be read.
    #[error("row `{key}` cannot be read: {reason}")]
    Format {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}
