//! Arguments and results of reads from the store.

use std::sync::Arc;

use super::Row;

/// Range of rows to read.
#[derive(Debug, Clone)]
pub struct Range {
    /// Name of the table.
    pub table: Arc<str>,
    /// Partition of the table; empty for the unnamed one.
    pub partition: Arc<str>,
    /// First key.
    pub from: Arc<str>,
    /// Key that ends the range and is not part of it; empty for the end of the table.
    pub to: Arc<str>,
}

impl Range {
    /// All rows of a table in its unnamed partition.
    pub fn all(table: &str) -> Self {
        Self {
            table: Arc::from(table),
            partition: Arc::from(""),
            from: Arc::from(""),
            to: Arc::from(""),
        }
    }

    /// One row of the unnamed partition.
    pub fn one(table: &str, key: &str) -> Self {
        Self {
            table: Arc::from(table),
            partition: Arc::from(""),
            from: Arc::from(key),
            to: Arc::from(format!("{key}\u{1}")),
        }
    }

    /// The same rows in another partition.
    #[must_use]
    pub fn within(self, partition: Arc<str>) -> Self {
        Self { partition, ..self }
    }
}

/// Rows as of one version of the store.
#[derive(Debug, Clone)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one.
    pub more: bool,
    /// Version of the store at the time of the read.
    pub version: u64,
    /// Clock of the store at the time of the read, in milliseconds.
    pub clock_ms: u64,
}

/// Changes of a table.
#[derive(Debug, Clone)]
pub struct Changes {
    /// Changed rows in the order in which they were changed.
    pub rows: Vec<Row>,
    /// Version after which the next request for changes continues.
    pub version: u64,
    /// Clock of the store when it answered, in milliseconds.
    pub clock_ms: u64,
}
