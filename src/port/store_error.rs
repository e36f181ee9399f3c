//! Failures of the store.

use thiserror::Error;

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// A row has another version than expected; nothing was done. Holds the current versions.
    #[error("a row was changed by another writer")]
    Conflict(Vec<(super::RowKey, u64)>),
    /// The store declined the call; nothing was done.
    #[error("the store declined the call with status {0}")]
    Declined(u16),
    /// No answer was received; a write may have been applied or may still be.
    #[error("no answer from the store: {0}")]
    Unknown(String),
    /// The store has discarded the history after the requested version.
    #[error("the store no longer has the requested history")]
    HistoryGone,
    /// The answer cannot be decoded.
    #[error("unreadable answer of the store: {0}")]
    Unreadable(String),
}
