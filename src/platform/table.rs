//! The platform's transactional table.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Step;

/// Key of a row, such as `job/photo-check-7`.
pub type Key = String;

/// Version of a row: increases with each write of any row; 0 stands for an absent row.
pub type Version = u64;

/// Identifier of one transaction, unique over all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OpId(pub String);

/// A row as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Key,
    /// Version.
    pub version: Version,
    /// Transaction that wrote it.
    pub op: OpId,
    /// Content.
    pub value: serde_json::Value,
}

/// Condition of a transaction: the row has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Key,
    /// Version that the row must have; 0 for an absent row.
    pub version: Version,
}

/// Change by a transaction: new content or removal of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: Key,
    /// New content; `None` removes the row.
    pub value: Option<serde_json::Value>,
}

/// A transaction: either all checks hold and all puts are applied, or nothing is written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Step that it belongs to.
    pub step: Step,
    /// Identifier, stored with each row that it writes.
    pub op: OpId,
    /// Conditions on the versions of rows.
    pub checks: Vec<Check>,
    /// Rows to write or remove.
    pub puts: Vec<Put>,
}

/// One page of a scan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Key after which the next page starts, if there may be more rows.
    pub next: Option<Key>,
}

/// Failure of the table.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A check did not hold; nothing was written.
    #[error("row `{key}` has changed: found version {found}, expected {expected}")]
    Conflict {
        /// Key of the row.
        key: Key,
        /// Version that the check named.
        expected: Version,
        /// Version that the row has.
        found: Version,
    },
    /// The table did not accept the request; nothing was written.
    #[error("the table cannot be reached: {0}")]
    Unavailable(String),
    /// The request may have taken effect, and reading the rows back did not show whether it did.
    #[error("the table's answer was lost: {0}")]
    Unknown(String),
    /// The request exceeds the rate limit; nothing was sent.
    #[error("the rate limit of the table is reached")]
    Limited,
    /// The table's answer is invalid.
    #[error("the table's answer cannot be read: {0}")]
    Format(String),
}

impl TableError {
    /// Whether it is certain that nothing was written.
    pub fn is_unwritten(&self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::Format(_))
    }
}

/// The table. If the answer to a commit is lost, the adapter resolves it through [`Row::op`] where possible.
pub trait Table: fmt::Debug + Send + Sync {
    /// Reads the rows of these keys, in the same order; `None` for absent rows.
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and sort after `after`.
    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError>;

    /// Applies a transaction; returns the version that all its rows received.
    fn commit(&self, txn: &Txn) -> Result<Version, TableError>;
}

impl<T> Table for Arc<T>
where
    T: Table + ?Sized,
{
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        T::read(self, keys)
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        T::scan(self, prefix, after, limit)
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        T::commit(self, txn)
    }
}
