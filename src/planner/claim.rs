//! Claim of a pool.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::error::PlannerError;
use super::pool_store::{PoolStore, parse_row, to_json};
use crate::job::JobRow;
use crate::name::{InstanceName, JobId, PoolName};
use crate::platform::{Check, Objects, Put, Step, Table, TableError, Txn, Version};
use crate::row::{EndpointRow, OpIds, PoolRow, key, scan_all};

/// Attempt of an instance to become the planner of a pool.
#[derive(Debug)]
pub struct Claim {
    /// The pool.
    pub pool: PoolName,
    /// The instance.
    pub instance: InstanceName,
    /// Boot identifier of the instance.
    pub boot: String,
    /// Version of the pool row on which the decision to claim was based; 0 if there was no row.
    pub version: Version,
    /// Further checks of the transaction, such as the unchanged session row of a holder whose lease has lapsed.
    pub checks: Vec<Check>,
    /// The table.
    pub table: Arc<dyn Table>,
    /// The object store, for answers that are too large for a row.
    pub objects: Arc<dyn Objects>,
    /// Source of transaction identifiers.
    pub ops: Arc<OpIds>,
}

impl Claim {
    /// Writes the pool row with this instance as holder and the epoch incremented.
    pub(super) fn acquire(self) -> Result<PoolStore, PlannerError> {
        let row_key = key::pool(&self.pool);
        let found = self.table.read(std::slice::from_ref(&row_key))?.pop().flatten();
        let epoch = match &found {
            Some(row) if row.version != self.version => return Err(PlannerError::Fenced),
            Some(row) => parse_row::<PoolRow>(row)?.epoch + 1,
            None if self.version != 0 => return Err(PlannerError::Fenced),
            None => 1,
        };
        let instance = self.instance.clone();
        let row = PoolRow {
            holder: self.instance,
            boot: self.boot,
            epoch,
        };
        let op = self.ops.next();
        let mut checks = self.checks;
        checks.push(Check {
            key: row_key.clone(),
            version: self.version,
        });
        let puts = vec![Put {
            key: row_key.clone(),
            value: to_json(&row),
        }];
        let pool_version = match self.table.commit(&Txn {
            step: Step::Takeover,
            op: op.clone(),
            checks,
            puts,
        }) {
            Ok(version) => version,
            Err(TableError::Conflict { .. }) => return Err(PlannerError::Fenced),
            Err(TableError::Unknown(_) | TableError::Format(_)) => match self.table.read(&[row_key])?.pop().flatten() {
                Some(row) if row.op == op => row.version,
                _ => return Err(PlannerError::Fenced),
            },
            Err(error) => return Err(error.into()),
        };
        Ok(PoolStore {
            table: self.table,
            objects: self.objects,
            ops: self.ops,
            instance,
            pool: self.pool,
            epoch,
            pool_version,
            endpoints: BTreeMap::new(),
        })
    }
}

impl PoolStore {
    /// Loads the pool's endpoint rows, and the rows of all jobs that are queued or hold seats.
    pub(super) fn load(&mut self) -> Result<Vec<(JobRow, Version)>, PlannerError> {
        let mut ids = BTreeSet::new();
        let prefix = key::endpoint_prefix(&self.pool);
        for row in scan_all(self.table.as_ref(), &prefix, None)? {
            let endpoint: EndpointRow = parse_row(&row)?;
            ids.extend(endpoint.held.iter().map(|held| held.job.clone()));
            if let Some(Ok(name)) = row.key.strip_prefix(&prefix).map(str::parse) {
                self.endpoints.insert(name, (endpoint, row.version));
            }
        }
        ids.extend(self.scan_queue()?.into_iter().map(|(id, _)| id));
        self.read_jobs(&ids.into_iter().collect::<Vec<_>>())
    }

    /// Jobs with a queue row (queued or being cancelled), with the version of that row.
    pub(super) fn scan_queue(&self) -> Result<Vec<(JobId, Version)>, PlannerError> {
        let prefix = key::queue_prefix(&self.pool);
        let rows = scan_all(self.table.as_ref(), &prefix, None)?;
        Ok(rows
            .iter()
            .filter_map(|row| Some((row.key.strip_prefix(&prefix)?.parse().ok()?, row.version)))
            .collect())
    }
}
