//! Rows of the store.

use std::sync::Arc;

/// Table and key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Name of the table.
    pub table: Arc<str>,
    /// Key within the table.
    pub key: Arc<str>,
}

impl RowKey {
    /// Key of a row in a table.
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

/// A row, or the tombstone of a removed row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key within its table.
    pub key: Arc<str>,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that wrote it.
    pub version: u64,
}
