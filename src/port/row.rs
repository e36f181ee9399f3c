//! Rows of the store.

use std::sync::Arc;

/// Where a row lies.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Table.
    pub table: Arc<str>,
    /// Key within the table.
    pub key: Arc<str>,
}

impl RowKey {
    /// Names a row.
    pub fn new<K>(table: &str, key: K) -> Self
    where
        K: Into<Arc<str>>,
    {
        Self {
            table: Arc::from(table),
            key: key.into(),
        }
    }
}

/// A row, or the trace of one that was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key within its table.
    pub key: Arc<str>,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that wrote it.
    pub version: u64,
}
