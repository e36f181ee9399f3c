//! Rows of calls that must not run twice.

use serde_json::json;

use super::CallController;
use super::stage::sent;
use crate::accept::StoredJob;
use crate::job::{JobRow, Outcome, Phase};
use crate::platform::{Check, Key, ObjectError, OpId, Put, Step, TableError, Txn, Version};
use crate::row::{commit, key};

/// Why an outcome is not written yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Unwritten {
    /// The answer could not be stored.
    Object(ObjectError),
    /// The table failed.
    Table(TableError),
}

/// Mark of the call in the row, if the row says that it was sent.
fn open_key(row: &JobRow) -> Option<Key> {
    sent(row).map(|(_, _, sender)| key::open(sender, &row.id))
}

impl CallController {
    /// Writes an attempt before it is sent. `former` is the row that it replaces.
    pub(super) fn write_attempt(
        &self,
        op: OpId,
        row: &JobRow,
        former: Option<&StoredJob>,
        head: Check,
    ) -> Result<Version, TableError> {
        let version = former.map_or(0, |former| former.version);
        let mark = open_key(row);
        let mut puts = vec![Put {
            key: key::job(&row.id),
            value: Some(json!(row)),
        }];
        if let Some(old) = former.and_then(|former| open_key(&former.row))
            && Some(&old) != mark.as_ref()
        {
            puts.push(Put { key: old, value: None });
        }
        if let Some(key) = mark {
            puts.push(Put {
                key,
                value: Some(json!({})),
            });
        }
        let unchanged = Check {
            key: key::job(&row.id),
            version,
        };
        commit(
            &*self.table,
            &Txn {
                step: Step::Open,
                op,
                checks: vec![unchanged, head],
                puts,
            },
        )
    }

    /// Writes the outcome of a call and removes its mark; a large answer goes to the object store before.
    pub(super) fn write_outcome(&self, stored: &StoredJob, outcome: Outcome) -> Result<(), Unwritten> {
        let mut row = stored.row.clone();
        row.started |= !matches!(outcome, Outcome::NotRun { .. });
        row.phase = Phase::Ended { outcome };
        if let Some((name, bytes)) = row.detach_answer() {
            self.objects.put(&name, &bytes).map_err(Unwritten::Object)?;
        }
        let mut puts = vec![Put {
            key: key::job(&row.id),
            value: Some(json!(row)),
        }];
        if let Some(key) = open_key(&stored.row) {
            puts.push(Put { key, value: None });
        }
        let txn = Txn {
            step: Step::Close,
            op: self.ops.next(),
            checks: vec![Check {
                key: key::job(&row.id),
                version: stored.version,
            }],
            puts,
        };
        commit(&*self.table, &txn).map_err(Unwritten::Table)?;
        Ok(())
    }

    /// Removes a mark whose call has ended or moved on.
    pub(super) fn remove_mark(&self, mark: Key, version: Version) -> Result<(), TableError> {
        let check = Check {
            key: mark.clone(),
            version,
        };
        let txn = Txn {
            step: Step::Close,
            op: self.ops.next(),
            checks: vec![check],
            puts: vec![Put { key: mark, value: None }],
        };
        commit(&*self.table, &txn).map(|_| ())
    }
}
