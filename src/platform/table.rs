//! The platform's transactional table.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Step;

/// Key of a row, such as `job/photo-check-7`.
pub type Key = String;

/// Version of a row; grows with each write of any row, 0 means absent.
pub type Version = u64;

/// Identifier of one transaction, unique over all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OpId(pub String);

/// A row as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// Transaction that wrote it.
    pub op: OpId,
    /// Its content.
    pub value: serde_json::Value,
}

/// Condition of a transaction: the row still has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Key,
    /// Version that it must have; 0 for absent.
    pub version: Version,
}

/// Change of a transaction: new content, or removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: Key,
    /// New content; `None` removes the row.
    pub value: Option<serde_json::Value>,
}

/// A transaction: all its puts happen if all its checks hold, else nothing does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Step that it belongs to.
    pub step: Step,
    /// Identifier, stored with each row that it writes.
    pub op: OpId,
    /// Conditions.
    pub checks: Vec<Check>,
    /// Changes.
    pub puts: Vec<Put>,
}

/// Part of a scan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Key to go on after, if there may be more.
    pub next: Option<Key>,
}

/// Failure of the table.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A check did not hold; nothing was written.
    #[error("row `{key}` has changed: version {found} found, {expected} expected")]
    Conflict {
        /// Key of the row.
        key: Key,
        /// Version that the check named.
        expected: Version,
        /// Version that the row has.
        found: Version,
    },
    /// The table did not take the request; nothing was written.
    #[error("the table cannot be reached: {0}")]
    Unavailable(String),
    /// The request may or may not have taken effect, and reading back did not tell.
    #[error("the table's answer was lost: {0}")]
    Unknown(String),
    /// The request was held back by the write limit; nothing was sent.
    #[error("the write limit is reached")]
    Limited,
    /// The table's answer made no sense.
    #[error("the table's answer cannot be read: {0}")]
    Format(String),
}

impl TableError {
    /// Whether it is certain that nothing was written.
    pub fn is_unwritten(&self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::Format(_))
    }
}

/// The table. A commit whose answer is lost is resolved by the adapter through [`Row::op`] where that is possible.
pub trait Table: fmt::Debug + Send + Sync {
    /// Rows of these keys, in order; `None` for absent ones.
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError>;

    /// Rows whose keys start with `prefix`, after the key `after`, at most `limit`.
    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError>;

    /// Carries out a transaction; the version that all its rows got.
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
