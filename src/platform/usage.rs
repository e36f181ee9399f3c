//! Use of the table by step.

use super::TableError;

/// Requests of one step, by result.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StepUsage {
    /// Committed transactions.
    pub commits: u64,
    /// Rows that the committed transactions wrote or removed.
    pub rows: u64,
    /// Successful read requests.
    pub reads: u64,
    /// Transactions rejected because a check did not hold.
    pub conflicts: u64,
    /// Requests not sent because of the rate limit.
    pub limited: u64,
    /// Requests that failed for other reasons.
    pub errors: u64,
}

impl StepUsage {
    /// Counts a failed request.
    pub(super) fn count_error(&mut self, error: &TableError) {
        match error {
            TableError::Conflict { .. } => self.conflicts += 1,
            TableError::Limited => self.limited += 1,
            _ => self.errors += 1,
        }
    }
}
