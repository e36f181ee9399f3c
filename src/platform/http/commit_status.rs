//! Determines from the table's rows whether a transaction whose answer was lost has been applied.
//!
//! A row that carries the transaction's identifier proves that it was applied. A row that the transaction writes and
//! whose version is still the one that the transaction checks proves that it has not been applied so far. A request
//! still in flight can take effect after the rows were read, unless one of its checks no longer holds.
//!
//! A row that was checked as absent and is found absent counts as not written. A transaction that only creates rows is
//! therefore taken as not applied if others removed all these rows before they were read back.

use std::collections::{BTreeMap, BTreeSet};

use crate::platform::{Key, Row, TableError, Txn, Version};

/// Status of a transaction whose answer was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CommitStatus {
    /// It was applied; its rows received this version.
    Applied(Version),
    /// It was not applied and cannot be applied later, since a check no longer holds.
    Conflict(TableError),
    /// It was not applied and can still be.
    Pending,
    /// The rows do not show it: another transaction has written them, or none is both checked and written.
    Unclear,
}

/// Keys of all rows that a transaction checks or writes.
pub(super) fn keys_of(txn: &Txn) -> Vec<Key> {
    let checked = txn.checks.iter().map(|check| &check.key);
    let written = txn.puts.iter().map(|put| &put.key);
    let keys: BTreeSet<_> = checked.chain(written).collect();
    keys.into_iter().cloned().collect()
}

/// Status of a transaction, given its rows as read back.
pub(super) fn commit_status(txn: &Txn, rows: &BTreeMap<Key, Option<Row>>) -> CommitStatus {
    let row_of = |key: &Key| rows.get(key).and_then(Option::as_ref);
    let version_of = |key: &Key| row_of(key).map_or(0, |row| row.version);
    for put in &txn.puts {
        let row = row_of(&put.key).filter(|row| put.value.is_some() && row.op == txn.op);
        if let Some(row) = row {
            return CommitStatus::Applied(row.version);
        }
    }
    let mut untouched = false;
    let mut conflict = None;
    for check in &txn.checks {
        let found = version_of(&check.key);
        if found != check.version {
            conflict.get_or_insert_with(|| TableError::Conflict {
                key: check.key.clone(),
                expected: check.version,
                found,
            });
            continue;
        }
        // The removal of an absent row does not change it, so the unchanged row proves nothing.
        let mut puts = txn.puts.iter().filter(|put| put.key == check.key);
        untouched |= puts.any(|put| put.value.is_some() || check.version != 0);
    }
    match (untouched, conflict) {
        (false, _) => CommitStatus::Unclear,
        (true, Some(error)) => CommitStatus::Conflict(error),
        (true, None) => CommitStatus::Pending,
    }
}
