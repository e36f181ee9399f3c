//! Transactions.

use std::sync::Arc;

use super::RowKey;

/// A conditional transaction, applied as a whole or not at all.
#[derive(Debug, Clone, Default)]
pub struct Commit {
    /// Partition of all rows of the transaction; the store applies the transactions of a partition one after another.
    pub partition: Arc<str>,
    /// Rows with the version that each must have; 0 if the row must not exist.
    pub expect: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub put: Vec<(RowKey, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<RowKey>,
}
