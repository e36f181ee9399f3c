//! In-memory implementations of the platform's table and object store.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use yuccaridge::platform::{Key, ObjectError, Objects, Page, Row, Table, TableError, Txn, Version};

/// Request counters of the table.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Committed transactions.
    pub commits: u64,
    /// Transactions rejected because a check failed.
    pub conflicts: u64,
    /// Rows written or removed.
    pub writes: u64,
    /// Read and scan requests.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Prefix of the keys whose checks are skipped.
    unchecked: Option<String>,
    rows: BTreeMap<Key, Row>,
    version: Version,
    usage: Usage,
}

/// In-memory transactional table.
#[derive(Debug, Default)]
pub struct MemoryTable(Mutex<State>);

impl MemoryTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Skips the checks of all keys with this prefix, to verify that a checker detects the violations that follow; `None`
    /// enforces all checks again.
    pub fn set_unchecked(&self, prefix: Option<String>) {
        self.state().unchecked = prefix;
    }

    /// Request counts so far.
    pub fn usage(&self) -> Usage {
        self.state().usage
    }
}

impl Table for MemoryTable {
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        let mut state = self.state();
        state.usage.reads += 1;
        Ok(keys.iter().map(|key| state.rows.get(key).cloned()).collect())
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        let mut state = self.state();
        state.usage.reads += 1;
        let start = match after {
            Some(key) => Bound::Excluded(key),
            None => Bound::Included(prefix),
        };
        let mut rows = Vec::new();
        for (key, row) in state.rows.range::<str, _>((start, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if rows.len() == limit {
                let next = rows.last().map(|row: &Row| row.key.clone());
                return Ok(Page { rows, next });
            }
            rows.push(row.clone());
        }
        Ok(Page { rows, next: None })
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        let mut state = self.state();
        for check in &txn.checks {
            if let Some(prefix) = &state.unchecked
                && check.key.starts_with(prefix)
            {
                continue;
            }
            let found = state.rows.get(&check.key).map_or(0, |row| row.version);
            if found != check.version {
                state.usage.conflicts += 1;
                return Err(TableError::Conflict {
                    key: check.key.clone(),
                    expected: check.version,
                    found,
                });
            }
        }
        state.version += 1;
        state.usage.commits += 1;
        state.usage.writes += txn.puts.len() as u64;
        let version = state.version;
        for put in &txn.puts {
            match &put.value {
                Some(value) => {
                    let row = Row {
                        key: put.key.clone(),
                        version,
                        op: txn.op.clone(),
                        value: value.clone(),
                    };
                    state.rows.insert(put.key.clone(), row);
                }
                None => {
                    state.rows.remove(&put.key);
                }
            }
        }
        Ok(version)
    }
}

/// In-memory object store.
#[derive(Debug, Default)]
pub struct MemoryObjects(Mutex<BTreeMap<String, Vec<u8>>>);

impl Objects for MemoryObjects {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), ObjectError> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        let objects = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        objects
            .get(name)
            .cloned()
            .ok_or_else(|| ObjectError::Absent(name.to_owned()))
    }
}
