//! What a step asked of the table.

use super::TableError;

/// Counts of one step.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StepUsage {
    /// Transactions carried out.
    pub commits: u64,
    /// Rows that they wrote or removed.
    pub rows: u64,
    /// Requests that read.
    pub reads: u64,
    /// Transactions refused because a check did not hold.
    pub conflicts: u64,
    /// Requests held back by the limit.
    pub limited: u64,
    /// Requests that failed otherwise.
    pub errors: u64,
}

impl StepUsage {
    /// Counts a failure.
    pub(super) fn count_error(&mut self, error: &TableError) {
        match error {
            TableError::Conflict { .. } => self.conflicts += 1,
            TableError::Limited => self.limited += 1,
            _ => self.errors += 1,
        }
    }
}
