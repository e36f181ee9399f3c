//! Reading rows.

use std::sync::Arc;

use super::Row;

/// Part of a table to read.
#[derive(Debug, Clone)]
pub struct Range {
    /// Table.
    pub table: Arc<str>,
    /// Partition of the table.
    pub partition: Arc<str>,
    /// First key.
    pub from: Arc<str>,
    /// First key that is left out; empty for the end of the table.
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

/// Rows as of one moment.
#[derive(Debug, Clone)]
pub struct Page {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// More rows follow the last one.
    pub more: bool,
    /// Newest version of the store at that moment.
    pub version: u64,
    /// Clock of the store at that moment, in milliseconds.
    pub clock_ms: u64,
}

/// Changes of one table.
#[derive(Debug, Clone)]
pub struct Changes {
    /// Changed rows in the order of their changes.
    pub rows: Vec<Row>,
    /// Version from which to go on.
    pub version: u64,
    /// Clock of the store when it answered, in milliseconds.
    pub clock_ms: u64,
}
