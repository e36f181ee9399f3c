//! The controller for batch jobs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::json;

use super::group_commit::{Group, Write};
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

/// Tries to write; each conflict is answered by reading what changed.
const TRIES: usize = 4;
/// Waiting jobs of one pool at which further ones are refused: four days of the largest load.
const WAITING_MAX: usize = 20_000;
/// Time for which a hint about a pool's waiting jobs is used.
const HINT_TTL: Millis = Millis::from_secs(30);

/// Accepts, cancels and looks up jobs.
#[derive(Debug)]
pub struct BatchJobs {
    session: Arc<Session>,
    member: Arc<Membership>,
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    group: Group,
    waiting: Mutex<BTreeMap<PoolName, (Millis, usize)>>,
}

/// How a try to write came out, other than by success or a final error.
enum Retry {
    /// Nothing was written; what was read is out of date.
    Stale,
    /// It may have been written.
    Doubt,
    /// Nothing was written and a further try makes no sense.
    Refused(AcceptError),
}

impl BatchJobs {
    /// A controller.
    pub fn new(
        session: Arc<Session>,
        member: Arc<Membership>,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        ops: Arc<OpIds>,
    ) -> Self {
        Self {
            session,
            member,
            group: Group::new(Arc::clone(&table), ops),
            table,
            objects,
            waiting: Mutex::default(),
        }
    }

    /// Takes in how many jobs wait in a pool, as its planner says.
    pub fn record_waiting_jobs(&self, now: Millis, pool: PoolName, jobs: usize) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(pool, (now, jobs));
    }

    /// Requests whose write waits until another one is done.
    pub fn queued_writes(&self) -> usize {
        self.group.waiting()
    }

    fn known_waiting(&self, now: Millis) -> BTreeMap<PoolName, usize> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, (at, _)| now.since(*at) <= HINT_TTL);
        waiting.iter().map(|(pool, (_, jobs))| (pool.clone(), *jobs)).collect()
    }

    /// Accepts a batch job, or finds it accepted already. Anything but a view means that it is not known to be stored.
    pub fn submit(&self, now: Millis, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, AcceptError> {
        let digest = digest(body);
        let mut doubt = false;
        for _ in 0..TRIES {
            match read_job(&*self.table, id) {
                Ok(Some(stored)) if stored.row.digest == digest => return view_job(&*self.objects, stored.row),
                Ok(Some(_)) => return Err(AcceptError::Conflict(id.clone())),
                Ok(None) => {}
                Err(_) if doubt => break,
                Err(AcceptError::Lookup(error)) => return Err(AcceptError::Table(error)),
                Err(error) => return Err(error),
            }
            match self.try_accept(now, id, body, &digest, trace) {
                Ok(view) => return Ok(view),
                Err(Retry::Stale) => {}
                Err(Retry::Doubt) => doubt = true,
                Err(Retry::Refused(_)) if doubt => break,
                Err(Retry::Refused(error)) => return Err(error),
            }
        }
        Err(if doubt {
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
    ) -> Result<JobView, Retry> {
        let spec = parse_spec(body).map_err(Retry::Refused)?;
        let basis = self
            .session
            .versioned_catalog(now)
            .ok_or(Retry::Refused(AcceptError::NoSession))?;
        let pool = self.check(now, &basis, id, &spec).map_err(Retry::Refused)?;
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
        self.write(now, Step::Accept, vec![absent, basis.check()], row, true)
    }

    fn check(
        &self,
        now: Millis,
        basis: &VersionedCatalog,
        id: &JobId,
        spec: &JobSpec,
    ) -> Result<PoolName, AcceptError> {
        if spec.class != Class::Batch {
            let sentence = "A call cannot be queued as a batch job.".to_owned();
            return Err(AcceptError::NotAllowed(sentence));
        }
        let catalog = &basis.catalog;
        check_spec(catalog, spec)?;
        let waiting = self.known_waiting(now);
        let pool = choose_pool(
            catalog,
            &catalog.teams[&spec.team],
            id,
            spec,
            &self.member.endpoints(),
            &waiting,
        )?;
        if waiting.get(&pool).is_some_and(|jobs| *jobs >= WAITING_MAX) {
            return Err(AcceptError::Busy);
        }
        Ok(pool)
    }

    /// Writes a job's row and sets or removes its mark in the queue.
    fn write(&self, now: Millis, step: Step, checks: Vec<Check>, row: JobRow, queued: bool) -> Result<JobView, Retry> {
        let write = Write {
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
        match self.group.commit(write) {
            Ok(()) => view_job(&*self.objects, row).map_err(Retry::Refused),
            Err(TableError::Conflict { key, .. }) => {
                if key == key::TICKET_HEAD {
                    // A failure shows in the next try.
                    let _ = self.session.refresh(now);
                }
                Err(Retry::Stale)
            }
            Err(TableError::Limited) => Err(Retry::Refused(AcceptError::Busy)),
            Err(error) if error.is_unwritten() => Err(Retry::Refused(AcceptError::Table(error))),
            Err(_) => Err(Retry::Doubt),
        }
    }

    /// Looks a job up.
    pub fn job(&self, id: &JobId) -> Result<JobView, AcceptError> {
        let stored = read_job(&*self.table, id)?.ok_or_else(|| AcceptError::Absent(id.clone()))?;
        view_job(&*self.objects, stored.row)
    }

    /// Cancels a job: one that waits is ended, one that runs is marked. A call that was sent cannot be called back, so
    /// its state is told unchanged.
    pub fn cancel(&self, now: Millis, id: &JobId) -> Result<JobView, AcceptError> {
        let mut doubt = false;
        for _ in 0..TRIES {
            let stored = match read_job(&*self.table, id) {
                Ok(Some(stored)) => stored,
                Ok(None) => return Err(AcceptError::Absent(id.clone())),
                Err(_) if doubt => break,
                Err(error) => return Err(error),
            };
            match self.try_cancel(now, stored) {
                Ok(view) => return Ok(view),
                Err(Retry::Stale) => {}
                Err(Retry::Doubt) => doubt = true,
                Err(Retry::Refused(_)) if doubt => break,
                Err(Retry::Refused(error)) => return Err(error),
            }
        }
        Err(if doubt {
            AcceptError::Unknown(id.clone())
        } else {
            AcceptError::Busy
        })
    }

    fn try_cancel(&self, now: Millis, stored: StoredJob) -> Result<JobView, Retry> {
        let mut row = stored.row;
        let waits = match row.phase {
            Phase::Queued => true,
            Phase::Placed { .. } | Phase::Running { .. } if !row.cancel => false,
            _ => return view_job(&*self.objects, row).map_err(Retry::Refused),
        };
        if waits {
            let outcome = Outcome::Cancelled { ran: row.started };
            row.phase = Phase::Ended { outcome };
        } else {
            row.cancel = true;
        }
        let unchanged = Check {
            key: key::job(&row.id),
            version: stored.version,
        };
        // The mark of a job to be ended tells its planner, which looks for new marks.
        self.write(now, Step::Cancel, vec![unchanged], row, !waits)
    }
}
