//! Rows of non-idempotent calls: the job row, and a marker row while the call is in flight.

use serde_json::json;

use super::CallController;
use super::stage::sent_phase;
use crate::accept::StoredJob;
use crate::job::{JobRow, Outcome, Phase};
use crate::platform::{Check, Key, ObjectError, OpId, Put, Step, TableError, Txn, Version};
use crate::row::{commit, key};

/// Why an outcome could not be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OutcomeWriteError {
    /// The object store did not store the answer.
    Object(ObjectError),
    /// The table did not confirm the transaction.
    Table(TableError),
}

/// Key of the call's marker, if the row says that the call was sent.
fn marker_key(row: &JobRow) -> Option<Key> {
    sent_phase(row).map(|(_, _, sender)| key::open_call(sender, &row.id))
}

impl CallController {
    /// Writes an attempt and its marker before the attempt is sent. `previous` is the row that it replaces.
    pub(super) fn commit_attempt(
        &self,
        op: OpId,
        row: &JobRow,
        previous: Option<&StoredJob>,
        head: Check,
    ) -> Result<Version, TableError> {
        let version = previous.map_or(0, |previous| previous.version);
        let marker = marker_key(row);
        let mut puts = vec![Put {
            key: key::job(&row.id),
            value: Some(json!(row)),
        }];
        if let Some(old_marker) = previous.and_then(|previous| marker_key(&previous.row))
            && Some(&old_marker) != marker.as_ref()
        {
            puts.push(Put {
                key: old_marker,
                value: None,
            });
        }
        if let Some(key) = marker {
            puts.push(Put {
                key,
                value: Some(json!({})),
            });
        }
        let row_unchanged = Check {
            key: key::job(&row.id),
            version,
        };
        commit(
            &*self.table,
            &Txn {
                step: Step::Open,
                op,
                checks: vec![row_unchanged, head],
                puts,
            },
        )
    }

    /// Writes the outcome of a call and removes its marker; a large answer is stored in the object store first.
    pub(super) fn commit_outcome(&self, stored: &StoredJob, outcome: Outcome) -> Result<(), OutcomeWriteError> {
        let mut row = stored.row.clone();
        row.started |= !matches!(outcome, Outcome::NotRun { .. });
        row.phase = Phase::Ended { outcome };
        if let Some((name, bytes)) = row.detach_answer() {
            self.objects.put(&name, &bytes).map_err(OutcomeWriteError::Object)?;
        }
        let mut puts = vec![Put {
            key: key::job(&row.id),
            value: Some(json!(row)),
        }];
        if let Some(key) = marker_key(&stored.row) {
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
        commit(&*self.table, &txn).map_err(OutcomeWriteError::Table)?;
        Ok(())
    }

    /// Removes a marker whose call has ended or was sent by another instance.
    pub(super) fn remove_marker(&self, marker: Key, version: Version) -> Result<(), TableError> {
        let check = Check {
            key: marker.clone(),
            version,
        };
        let txn = Txn {
            step: Step::Close,
            op: self.ops.next(),
            checks: vec![check],
            puts: vec![Put {
                key: marker,
                value: None,
            }],
        };
        commit(&*self.table, &txn).map(|_| ())
    }
}
