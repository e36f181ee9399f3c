//! Errors of the planner.

use thiserror::Error;

use crate::platform::TableError;

/// Why a planner cannot continue.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlannerError {
    /// Another instance holds the pool.
    #[error("another instance has taken over the pool")]
    Fenced,
    /// The table failed; the step can be retried.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The content of a row cannot be parsed.
    #[error("row `{key}` cannot be parsed: {reason}")]
    Format {
        /// Key of the row.
        key: String,
        /// Parse error.
        reason: String,
    },
}
