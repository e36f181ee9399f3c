//! A transaction.

use std::sync::Arc;

use super::RowKey;

/// A conditional transaction: applied whole or not at all.
#[derive(Debug, Clone, Default)]
pub struct Commit {
    /// Partition of all its rows; the store carries out the transactions of one partition one after another.
    pub partition: Arc<str>,
    /// Rows with the version that each must have; 0 for a row that must not exist.
    pub expect: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub put: Vec<(RowKey, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<RowKey>,
}
