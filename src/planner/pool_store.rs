//! Cached rows of a pool and the transactions that change them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::PlannerError;
use super::job_change::{JobChange, SeatChange};
use crate::job::{JobRow, Phase};
use crate::name::{EndpointName, InstanceName, JobId, PoolName};
use crate::platform::{Check, Objects, OpId, Put, Row, Step, Table, TableError, Txn, Version};
use crate::row::{EndpointRow, HeldSeat, OpIds, PoolRow, key};

/// Limit on the jobs in one transaction; keeps it well below common limits on rows and bytes.
const JOBS_PER_TXN: usize = 32;
/// Limit on the rows in one read.
const ROWS_PER_READ: usize = 256;

/// Result of committing a change.
#[derive(Debug)]
pub(super) enum CommitResult {
    /// The change was written, with this version.
    Written(Version),
    /// The row did not have the expected version; this is its current state.
    RowChanged(Option<Box<(JobRow, Version)>>),
    /// The change was not written.
    NotWritten,
}

/// Access to a pool's rows, fenced by the version of the pool row, with the endpoint rows cached.
#[derive(Debug)]
pub(super) struct PoolStore {
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn Objects>,
    pub ops: Arc<OpIds>,
    pub instance: InstanceName,
    pub pool: PoolName,
    pub epoch: u64,
    /// Version of the pool row; every transaction checks it.
    pub pool_version: Version,
    pub endpoints: BTreeMap<EndpointName, (EndpointRow, Version)>,
}

/// Parses the content of a row.
pub(super) fn parse_row<T>(row: &Row) -> Result<T, PlannerError>
where
    T: DeserializeOwned,
{
    T::deserialize(&row.value).map_err(|error| PlannerError::Format {
        key: row.key.clone(),
        reason: error.to_string(),
    })
}

/// Converts the content of a row to JSON; all row types serialize without errors.
pub(super) fn to_json<T>(value: &T) -> Option<serde_json::Value>
where
    T: Serialize,
{
    serde_json::to_value(value).ok()
}

impl PoolStore {
    /// Reads the rows of these jobs; absent ones are left out.
    pub fn read_jobs(&self, ids: &[JobId]) -> Result<Vec<(JobRow, Version)>, PlannerError> {
        let mut jobs = Vec::with_capacity(ids.len());
        for chunk in ids.chunks(ROWS_PER_READ) {
            let keys: Vec<_> = chunk.iter().map(key::job).collect();
            for row in self.table.read(&keys)?.into_iter().flatten() {
                jobs.push((parse_row(&row)?, row.version));
            }
        }
        Ok(jobs)
    }

    /// Commits changes, several in one transaction; returns the result of each, in order.
    pub fn commit(
        &mut self,
        changes: &[JobChange],
        versions: &BTreeMap<JobId, Version>,
    ) -> Result<Vec<CommitResult>, PlannerError> {
        let mut results = Vec::with_capacity(changes.len());
        for chunk in changes.chunks(JOBS_PER_TXN) {
            match self.commit_chunk(chunk, versions)? {
                Some(committed) => results.extend(committed),
                None if chunk.len() == 1 => results.push(CommitResult::NotWritten),
                // A conflict on one row must not block the other changes.
                None => {
                    for change in chunk {
                        let one = self.commit_chunk(std::slice::from_ref(change), versions)?;
                        results.extend(one.unwrap_or_else(|| vec![CommitResult::NotWritten]));
                    }
                }
            }
        }
        Ok(results)
    }

    /// Commits changes in one transaction; `None` if there are several and one of them conflicts.
    fn commit_chunk(
        &mut self,
        chunk: &[JobChange],
        versions: &BTreeMap<JobId, Version>,
    ) -> Result<Option<Vec<CommitResult>>, PlannerError> {
        let op = self.ops.next();
        let (txn, rows) = self.build_txn(&op, chunk, versions);
        match self.table.commit(&txn) {
            Ok(version) => {
                for (endpoint, row) in rows {
                    self.endpoints.insert(endpoint, (row, version));
                }
                Ok(Some(chunk.iter().map(|_| CommitResult::Written(version)).collect()))
            }
            Err(TableError::Conflict { key, .. }) if key == key::pool(&self.pool) => Err(PlannerError::Fenced),
            Err(TableError::Conflict { .. }) if chunk.len() > 1 => Ok(None),
            Err(TableError::Conflict { .. } | TableError::Unknown(_) | TableError::Format(_)) => {
                self.read_back(&op, chunk, rows.into_keys().collect()).map(Some)
            }
            Err(TableError::Unavailable(_) | TableError::Limited) => {
                Ok(Some(chunk.iter().map(|_| CommitResult::NotWritten).collect()))
            }
        }
    }

    /// Reads the rows after a transaction with an uncertain result.
    fn read_back(
        &mut self,
        op: &OpId,
        chunk: &[JobChange],
        endpoints: BTreeSet<EndpointName>,
    ) -> Result<Vec<CommitResult>, PlannerError> {
        let mut keys: Vec<_> = vec![key::pool(&self.pool)];
        keys.extend(endpoints.iter().map(|endpoint| key::endpoint(&self.pool, endpoint)));
        keys.extend(chunk.iter().map(|change| key::job(&change.row.id)));
        let mut rows = self.table.read(&keys)?.into_iter();
        if rows.next().flatten().is_none_or(|row| row.version != self.pool_version) {
            return Err(PlannerError::Fenced);
        }
        for endpoint in endpoints {
            match rows.next().flatten() {
                Some(row) => self.endpoints.insert(endpoint, (parse_row(&row)?, row.version)),
                None => self.endpoints.insert(endpoint, (EndpointRow::default(), 0)),
            };
        }
        let mut results = Vec::with_capacity(chunk.len());
        for row in rows {
            results.push(match row {
                Some(row) if row.op == *op => CommitResult::Written(row.version),
                Some(row) => CommitResult::RowChanged(Some(Box::new((parse_row(&row)?, row.version)))),
                None => CommitResult::RowChanged(None),
            });
        }
        Ok(results)
    }

    fn build_txn(
        &self,
        op: &OpId,
        chunk: &[JobChange],
        versions: &BTreeMap<JobId, Version>,
    ) -> (Txn, BTreeMap<EndpointName, EndpointRow>) {
        let mut checks = vec![Check {
            key: key::pool(&self.pool),
            version: self.pool_version,
        }];
        let mut puts = Vec::new();
        let mut rows: BTreeMap<EndpointName, EndpointRow> = BTreeMap::new();
        for change in chunk {
            let id = &change.row.id;
            checks.push(Check {
                key: key::job(id),
                version: versions.get(id).copied().unwrap_or(0),
            });
            puts.push(Put {
                key: key::job(id),
                value: to_json(&change.row),
            });
            // The queue row stays until the job ends, since a pool with queue rows cannot be removed.
            let queue_value = change.queued.then(|| serde_json::json!({}));
            if change.queued || change.step == Step::End {
                puts.push(Put {
                    key: key::queue_entry(&self.pool, id),
                    value: queue_value,
                });
            }
            match &change.seats {
                SeatChange::Keep => {}
                SeatChange::Take => self.take_seats(change, &mut rows),
                SeatChange::Free(endpoints) => {
                    for endpoint in endpoints {
                        self.row_mut(endpoint, &mut rows).held.retain(|held| held.job != *id);
                    }
                }
            }
        }
        for (endpoint, row) in &rows {
            let row_key = key::endpoint(&self.pool, endpoint);
            let version = self.endpoints.get(endpoint).map_or(0, |(_, version)| *version);
            checks.push(Check {
                key: row_key.clone(),
                version,
            });
            puts.push(Put {
                key: row_key,
                value: to_json(row),
            });
        }
        let step = chunk.first().map_or(Step::End, |change| change.step);
        (
            Txn {
                step,
                op: op.clone(),
                checks,
                puts,
            },
            rows,
        )
    }

    fn take_seats(&self, change: &JobChange, rows: &mut BTreeMap<EndpointName, EndpointRow>) {
        let Phase::Placed { seats, .. } = &change.row.phase else {
            return;
        };
        for (member, seat) in (0..).zip(seats) {
            let held = HeldSeat {
                job: change.row.id.clone(),
                attempt: change.row.attempt,
                member,
                accelerators: seat.accelerators.clone(),
            };
            self.row_mut(&seat.endpoint, rows).held.push(held);
        }
    }

    fn row_mut<'a>(
        &self,
        endpoint: &EndpointName,
        rows: &'a mut BTreeMap<EndpointName, EndpointRow>,
    ) -> &'a mut EndpointRow {
        rows.entry(endpoint.clone()).or_insert_with(|| {
            self.endpoints
                .get(endpoint)
                .map(|(row, _)| row.clone())
                .unwrap_or_default()
        })
    }

    /// Marks the pool as vacant, so that any instance may claim it.
    pub fn release(&self) -> Result<(), PlannerError> {
        let row_key = key::pool(&self.pool);
        let row = PoolRow {
            holder: self.instance.clone(),
            boot: String::new(),
            epoch: self.epoch,
        };
        let txn = Txn {
            step: Step::Takeover,
            op: self.ops.next(),
            checks: vec![Check {
                key: row_key.clone(),
                version: self.pool_version,
            }],
            puts: vec![Put {
                key: row_key,
                value: to_json(&row),
            }],
        };
        match self.table.commit(&txn) {
            Ok(_) => Ok(()),
            Err(TableError::Conflict { .. }) => Err(PlannerError::Fenced),
            Err(error) => Err(error.into()),
        }
    }

    /// Writes the reason for an endpoint's quarantine, or `None` to end it.
    pub fn set_quarantine(&mut self, endpoint: &EndpointName, reason: Option<String>) -> Result<(), PlannerError> {
        let (mut row, version) = self.endpoints.get(endpoint).cloned().unwrap_or_default();
        row.quarantine = reason;
        let row_key = key::endpoint(&self.pool, endpoint);
        let txn = Txn {
            step: Step::Quarantine,
            op: self.ops.next(),
            checks: vec![
                Check {
                    key: key::pool(&self.pool),
                    version: self.pool_version,
                },
                Check {
                    key: row_key.clone(),
                    version,
                },
            ],
            puts: vec![Put {
                key: row_key.clone(),
                value: to_json(&row),
            }],
        };
        match self.table.commit(&txn) {
            Ok(version) => {
                self.endpoints.insert(endpoint.clone(), (row, version));
                Ok(())
            }
            Err(TableError::Conflict { key, .. }) if key == key::pool(&self.pool) => Err(PlannerError::Fenced),
            Err(error) if error.is_unwritten() && !matches!(error, TableError::Conflict { .. }) => Err(error.into()),
            Err(_) => {
                if let Some(found) = self.table.read(&[row_key])?.pop().flatten() {
                    self.endpoints
                        .insert(endpoint.clone(), (parse_row(&found)?, found.version));
                }
                Ok(())
            }
        }
    }
}
