//! Controller for batch jobs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::json;

use super::group_commit::{GroupCommit, WriteRequest};
use super::view::StoredJob;
use super::{AcceptError, check_spec, choose_pool, parse_spec, read_job, view_job};
use crate::api::JobView;
use crate::job::{Class, JobRow, JobSpec, Outcome, Phase};
use crate::membership::Membership;
use crate::name::{JobId, PoolName};
use crate::platform::{Check, Objects, Put, Step, Table, TableError};
use crate::row::{OpIds, digest, key};
use crate::session::{Session, VersionedCatalog};
use crate::time::Millis;

/// Attempts at a write; after a conflict, what changed is read again.
const ATTEMPTS_MAX: usize = 4;
/// Number of waiting jobs of a pool from which further ones are refused: four days of the largest load.
const WAITING_JOBS_MAX: usize = 20_000;
/// Time for which the number of a pool's waiting jobs is used.
const WAITING_COUNT_TTL: Millis = Millis::from_secs(30);

/// Accepts, cancels and looks up jobs.
#[derive(Debug)]
pub struct BatchJobController {
    session: Arc<Session>,
    membership: Arc<Membership>,
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    writes: GroupCommit,
    waiting: Mutex<BTreeMap<PoolName, (Millis, usize)>>,
}

/// Failure of one attempt at a write.
enum WriteFailure {
    /// Nothing was written, because what was read is out of date.
    Stale,
    /// The write may have taken effect.
    Uncertain,
    /// Nothing was written, and a further attempt would fail too.
    Refused(AcceptError),
}

impl BatchJobController {
    /// Creates a controller.
    pub fn new(
        session: Arc<Session>,
        membership: Arc<Membership>,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        ops: Arc<OpIds>,
    ) -> Self {
        Self {
            session,
            membership,
            writes: GroupCommit::new(Arc::clone(&table), ops),
            table,
            objects,
            waiting: Mutex::default(),
        }
    }

    /// Records the number of waiting jobs that the planner of a pool reports.
    pub fn record_waiting_jobs(&self, now: Millis, pool: PoolName, jobs: usize) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(pool, (now, jobs));
    }

    /// Number of writes that wait for the transaction in progress.
    pub fn queued_writes(&self) -> usize {
        self.writes.waiting()
    }

    fn recent_waiting_jobs(&self, now: Millis) -> BTreeMap<PoolName, usize> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, (recorded_at, _)| now.since(*recorded_at) <= WAITING_COUNT_TTL);
        waiting.iter().map(|(pool, (_, jobs))| (pool.clone(), *jobs)).collect()
    }

    /// Accepts a batch job, or returns it if it was accepted before. An error means that it is not known to be stored.
    pub fn submit(&self, now: Millis, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, AcceptError> {
        let digest = digest(body);
        let mut uncertain = false;
        for _ in 0..ATTEMPTS_MAX {
            match read_job(&*self.table, id) {
                Ok(Some(stored)) if stored.row.digest == digest => return view_job(&*self.objects, stored.row),
                Ok(Some(_)) => return Err(AcceptError::Conflict(id.clone())),
                Ok(None) => {}
                Err(_) if uncertain => break,
                Err(AcceptError::Lookup(error)) => return Err(AcceptError::Table(error)),
                Err(error) => return Err(error),
            }
            match self.try_accept(now, id, body, &digest, trace) {
                Ok(view) => return Ok(view),
                Err(WriteFailure::Stale) => {}
                Err(WriteFailure::Uncertain) => uncertain = true,
                Err(WriteFailure::Refused(_)) if uncertain => break,
                Err(WriteFailure::Refused(error)) => return Err(error),
            }
        }
        Err(if uncertain {
            AcceptError::Unknown(id.clone())
        } else {
            AcceptError::NoSession
        })
    }

    fn try_accept(
        &self,
        now: Millis,
        id: &JobId,
        body: &[u8],
        digest: &str,
        trace: Option<&str>,
    ) -> Result<JobView, WriteFailure> {
        let spec = parse_spec(body).map_err(WriteFailure::Refused)?;
        let config = self
            .session
            .versioned_catalog(now)
            .ok_or(WriteFailure::Refused(AcceptError::NoSession))?;
        let pool = self.check(now, &config, id, &spec).map_err(WriteFailure::Refused)?;
        let row = JobRow {
            id: id.clone(),
            spec,
            digest: digest.to_owned(),
            pool,
            attempt: 0,
            phase: Phase::Queued,
            cancel: false,
            started: false,
            checkpoint: None,
            stored: None,
            trace: trace.map(str::to_owned),
        };
        let absent = Check {
            key: key::job(id),
            version: 0,
        };
        self.write(now, Step::Accept, vec![absent, config.check()], row, true)
    }

    fn check(
        &self,
        now: Millis,
        config: &VersionedCatalog,
        id: &JobId,
        spec: &JobSpec,
    ) -> Result<PoolName, AcceptError> {
        if spec.class != Class::Batch {
            let message = "A call cannot be queued as a batch job.".to_owned();
            return Err(AcceptError::NotAllowed(message));
        }
        let catalog = &config.catalog;
        check_spec(catalog, spec)?;
        let waiting = self.recent_waiting_jobs(now);
        let pool = choose_pool(
            catalog,
            &catalog.teams[&spec.team],
            id,
            spec,
            &self.membership.endpoints(),
            &waiting,
        )?;
        if waiting.get(&pool).is_some_and(|jobs| *jobs >= WAITING_JOBS_MAX) {
            return Err(AcceptError::Busy);
        }
        Ok(pool)
    }

    /// Writes a job's row, and writes or removes its queue entry.
    fn write(
        &self,
        now: Millis,
        step: Step,
        checks: Vec<Check>,
        row: JobRow,
        queued: bool,
    ) -> Result<JobView, WriteFailure> {
        let write = WriteRequest {
            step,
            checks,
            puts: vec![
                Put {
                    key: key::job(&row.id),
                    value: Some(json!(row)),
                },
                Put {
                    key: key::queue_entry(&row.pool, &row.id),
                    value: queued.then(|| json!({})),
                },
            ],
        };
        match self.writes.commit(write) {
            Ok(()) => view_job(&*self.objects, row).map_err(WriteFailure::Refused),
            Err(TableError::Conflict { key, .. }) => {
                if key == key::TICKET_HEAD {
                    // The next attempt reports a failure.
                    let _ = self.session.refresh(now);
                }
                Err(WriteFailure::Stale)
            }
            Err(TableError::Limited) => Err(WriteFailure::Refused(AcceptError::Busy)),
            Err(error) if error.is_unwritten() => Err(WriteFailure::Refused(AcceptError::Table(error))),
            Err(_) => Err(WriteFailure::Uncertain),
        }
    }

    /// Looks a job up.
    pub fn job(&self, id: &JobId) -> Result<JobView, AcceptError> {
        let stored = read_job(&*self.table, id)?.ok_or_else(|| AcceptError::Absent(id.clone()))?;
        view_job(&*self.objects, stored.row)
    }

    /// Cancels a job: a queued one ends, a placed or running one is marked for cancellation. A call that was sent
    /// cannot be recalled, so its state is returned unchanged.
    pub fn cancel(&self, now: Millis, id: &JobId) -> Result<JobView, AcceptError> {
        let mut uncertain = false;
        for _ in 0..ATTEMPTS_MAX {
            let stored = match read_job(&*self.table, id) {
                Ok(Some(stored)) => stored,
                Ok(None) => return Err(AcceptError::Absent(id.clone())),
                Err(_) if uncertain => break,
                Err(error) => return Err(error),
            };
            match self.try_cancel(now, stored) {
                Ok(view) => return Ok(view),
                Err(WriteFailure::Stale) => {}
                Err(WriteFailure::Uncertain) => uncertain = true,
                Err(WriteFailure::Refused(_)) if uncertain => break,
                Err(WriteFailure::Refused(error)) => return Err(error),
            }
        }
        Err(if uncertain {
            AcceptError::Unknown(id.clone())
        } else {
            AcceptError::Busy
        })
    }

    fn try_cancel(&self, now: Millis, stored: StoredJob) -> Result<JobView, WriteFailure> {
        let mut row = stored.row;
        let is_queued = match row.phase {
            Phase::Queued => true,
            Phase::Placed { .. } | Phase::Running { .. } if !row.cancel => false,
            _ => return view_job(&*self.objects, row).map_err(WriteFailure::Refused),
        };
        if is_queued {
            let outcome = Outcome::Cancelled { ran: row.started };
            row.phase = Phase::Ended { outcome };
        } else {
            row.cancel = true;
        }
        let unchanged = Check {
            key: key::job(&row.id),
            version: stored.version,
        };
        // The planner of a placed or running job learns of the cancellation from a new queue entry.
        self.write(now, Step::Cancel, vec![unchanged], row, !is_queued)
    }
}
