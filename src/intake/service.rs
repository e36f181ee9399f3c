//! Answers callers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::time::{Instant, sleep, timeout_at};

use super::{Admission, ConfigView, Denial};
use crate::graph::{JobGraph, Phase, Submission};
use crate::lead::{CANCEL_SUFFIX, Hints, INTAKE, PENDING, PHASE, decode_phase, intake_partition};
use crate::net::wall_ms;
use crate::port::{Commit, Range, Row, RowKey, RowStore, StoreError};

/// Pause before a call to the store is repeated.
const RETRY: Duration = Duration::from_millis(60);

/// How long a call is repeated that the store declines. Nothing was done then, and another instance may be served.
const DECLINED_FOR: Duration = Duration::from_millis(250);

/// Age of the configuration from which the store counts as away for longer, in milliseconds.
const AWAY_MS: u64 = 3_000;

/// Answers callers from the configuration and the store.
#[derive(Debug)]
pub struct JobService<R> {
    rows: R,
    view: Rc<ConfigView>,
    hints: Rc<Hints>,
}

impl<R> JobService<R>
where
    R: RowStore,
{
    /// A service on a store.
    pub fn new(rows: R, view: Rc<ConfigView>, hints: Rc<Hints>) -> Self {
        Self { rows, view, hints }
    }

    /// Configuration as this instance knows it.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// When a caller that was not served should come back, in seconds. At first another instance may well serve it; a store
    /// that has been away for some time is likely to stay away, and callers try only a few times.
    pub fn retry_after_s(&self) -> u64 {
        if self.view.age_ms().is_none_or(|age| age >= AWAY_MS) {
            2
        } else {
            1
        }
    }

    /// Finds the queue and the team of a request.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admission, Denial> {
        let config = self.view.fresh_config().ok_or(Denial::Stale)?;
        let (queue, rest) = config.route(host, path).ok_or(Denial::NoQueue)?;
        let team = match key.and_then(|key| config.team(key)) {
            Some(team) => Arc::clone(&team.name),
            None if queue.open => Arc::from(""),
            None => return Err(Denial::BadKey),
        };
        Ok(Admission {
            queue: Arc::clone(queue),
            team,
            subpath: Arc::from(rest),
        })
    }

    /// Accepts a job: it is stored when this returns.
    pub async fn submit(
        &self,
        admission: &Admission,
        id: &str,
        graph: JobGraph,
        deadline: Instant,
    ) -> Result<(), Denial> {
        if let Err(error) = graph.check() {
            log::info!(job = id, error:% = error; "job refused");
            return Err(Denial::BadJob);
        }
        let submission = Submission {
            queue: admission.queue.name.to_string(),
            team: admission.team.to_string(),
            graph,
            accepted_ms: wall_ms(),
        };
        let commit = Commit {
            partition: intake_partition(id),
            expect: vec![(RowKey::new(INTAKE, id), 0)],
            put: vec![(RowKey::new(INTAKE, id), submission.encode_to_vec())],
            remove: Vec::new(),
        };
        // A conflict means that the job was accepted before: the id is the caller's, so it is the same job.
        self.write(&commit, deadline).await?;
        self.hints.send(id);
        Ok(())
    }

    /// Looks a job up.
    pub async fn phase(&self, admission: &Admission, id: &str, deadline: Instant) -> Result<Phase, Denial> {
        let unreadable = || {
            log::error!(job = id; "stored state of a job is unreadable");
            Denial::Unavailable
        };
        let (phase, team) = if let Some(row) = self.row(Range::one(PHASE, id), deadline).await? {
            let (phase, team) = row.value.as_deref().and_then(decode_phase).ok_or_else(unreadable)?;
            (phase, team.to_owned())
        } else {
            // The leader has not touched it yet.
            let range = Range::one(INTAKE, id).within(intake_partition(id));
            let row = self.row(range, deadline).await?.ok_or(Denial::NoJob)?;
            let submission = row.value.as_deref().and_then(|value| Submission::decode(value).ok());
            (Phase::Queued, submission.ok_or_else(unreadable)?.team)
        };
        if !admission.team.is_empty() && !team.is_empty() && *admission.team != *team {
            return Err(Denial::OtherTeam);
        }
        Ok(phase)
    }

    /// Cancels a job.
    pub async fn cancel(&self, admission: &Admission, id: &str, deadline: Instant) -> Result<(), Denial> {
        if self.phase(admission, id, deadline).await?.is_final() {
            return Ok(());
        }
        let name = format!("{id}{CANCEL_SUFFIX}");
        let key = RowKey::new(INTAKE, &*name);
        let commit = Commit {
            partition: intake_partition(id),
            expect: vec![(key.clone(), 0)],
            put: vec![(key, b"x".to_vec())],
            remove: Vec::new(),
        };
        self.write(&commit, deadline).await?;
        self.hints.send(&name);
        Ok(())
    }

    /// Number of jobs of a queue that have not begun; at most about two seconds old.
    pub async fn pending_count(&self, admission: &Admission, deadline: Instant) -> Result<u64, Denial> {
        let Some(row) = self.row(Range::one(PENDING, "1"), deadline).await? else {
            return Ok(0);
        };
        let text = String::from_utf8_lossy(row.value.as_deref().unwrap_or_default()).into_owned();
        for line in text.lines() {
            let Some((queue, count)) = line.split_once('\t') else {
                continue;
            };
            if *queue != *admission.queue.name {
                continue;
            }
            return count.parse().map_err(|error| {
                log::error!(queue, error:% = error; "stored number of waiting jobs is unreadable");
                Denial::Unavailable
            });
        }
        Ok(0)
    }

    async fn row(&self, range: Range, deadline: Instant) -> Result<Option<Row>, Denial> {
        let give_up = (Instant::now() + DECLINED_FOR).min(deadline);
        loop {
            match timeout_at(deadline, self.rows.read(&range)).await {
                Ok(Ok(page)) => return Ok(page.rows.into_iter().find(|row| row.key == range.from)),
                Ok(Err(error)) => {
                    log::debug!(table:% = range.table, key:% = range.from, error:% = error; "cannot read a row");
                }
                Err(_) => return Err(Denial::Unavailable),
            }
            if Instant::now() + RETRY >= give_up {
                return Err(Denial::Unavailable);
            }
            sleep(RETRY).await;
        }
    }

    /// Repeats a conditional write until its outcome is known.
    async fn write(&self, commit: &Commit, deadline: Instant) -> Result<(), Denial> {
        let mut sent = false;
        let give_up = (Instant::now() + DECLINED_FOR).min(deadline);
        loop {
            match timeout_at(deadline, self.rows.commit(commit)).await {
                Ok(Ok(_) | Err(StoreError::Conflict(_))) => return Ok(()),
                Ok(Err(StoreError::Declined(_))) => {}
                Ok(Err(error)) => {
                    log::debug!(error:% = error; "a write has no answer");
                    sent = true;
                }
                Err(_) => return Err(Denial::Unknown),
            }
            // Only a write that was never sent out without an answer can be said not to have happened.
            if !sent && Instant::now() + RETRY >= give_up {
                return Err(Denial::Unavailable);
            }
            if Instant::now() + RETRY >= deadline {
                return Err(Denial::Unknown);
            }
            sleep(RETRY).await;
        }
    }
}
