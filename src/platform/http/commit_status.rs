//! What the table's rows say about a transaction whose answer was lost.
//!
//! A row that carries the transaction's identifier proves that it was applied. A row that the transaction writes and
//! whose version is still the one that the transaction checks proves that it was not, so far. A request that is still
//! under way can take effect after the rows were read; only a check that no longer holds rules that out.
//!
//! A row checked as absent and found absent counts as not written. A transaction that only creates rows, all of which
//! others removed before they were read back, is therefore taken for one that was not applied.

use std::collections::{BTreeMap, BTreeSet};

use crate::platform::{Key, Row, TableError, Txn, Version};

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CommitStatus {
    /// It was applied and gave its rows this version.
    Applied(Version),
    /// It was not applied, and a check keeps it from being applied later.
    Conflict(TableError),
    /// It was not applied, and can still be.
    Pending,
    /// The rows do not tell, because another transaction has written them or because none is both checked and written.
    Unclear,
}

/// Keys to read back.
pub(super) fn keys_of(txn: &Txn) -> Vec<Key> {
    let checked = txn.checks.iter().map(|check| &check.key);
    let written = txn.puts.iter().map(|put| &put.key);
    let keys: BTreeSet<_> = checked.chain(written).collect();
    keys.into_iter().cloned().collect()
}

/// Judges a transaction by its rows.
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
        // Removing an absent row leaves it as it is, so it proves nothing.
        let mut puts = txn.puts.iter().filter(|put| put.key == check.key);
        untouched |= puts.any(|put| put.value.is_some() || check.version != 0);
    }
    match (untouched, conflict) {
        (false, _) => CommitStatus::Unclear,
        (true, Some(error)) => CommitStatus::Conflict(error),
        (true, None) => CommitStatus::Pending,
    }
}
