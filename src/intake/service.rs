//! Handles the requests of callers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep, timeout_at};

use super::withdrawal_limit::WithdrawalLimit;
use super::{Admission, ConfigView, Denial};
use crate::graph::{JobGraph, Phase, QueueSettings, Submission};
use crate::lead::{
    CANCEL_SUFFIX, Hints, INTAKE, PENDING, PHASE, barring_keys, decode_phase, intake_partition, withdrawal_keys,
};
use crate::net::wall_ms;
use crate::port::{Commit, Range, Row, RowKey, RowStore, StoreError};

/// Pause before a call to the store is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a declined call to the store is retried. After it the request is denied, because a declined call has
/// no effect and another instance may reach the store.
const DECLINED_RETRY_TIME: Duration = Duration::from_millis(250);

/// Least time before the deadline for a first write, three times what it takes on a store without extra load. A write that
/// is cut off may take effect, and its caller could not be told.
const WRITE_TIME_MIN: Duration = Duration::from_millis(20);

/// Age of the configuration from which the store counts as down for longer, in milliseconds.
const STORE_OUTAGE_MS: u64 = 3_000;

/// Handles the requests of callers with the configuration and the store.
#[derive(Debug)]
pub struct JobService<R> {
    rows: R,
    view: Rc<ConfigView>,
    hints: Rc<Hints>,
    withdrawals: RefCell<WithdrawalLimit>,
}

/// Outcome of a conditional write.
#[derive(Debug)]
enum Written {
    Applied,
    /// A row has another version than expected.
    Conflict {
        /// The present versions.
        versions: Vec<(RowKey, u64)>,
        /// Whether an earlier attempt has had no answer; it may still be applied.
        unanswered: bool,
    },
}

impl Written {
    /// Whether the write was in conflict with an existing row of this key.
    fn found(&self, key: &RowKey) -> bool {
        match self {
            Self::Applied => false,
            Self::Conflict { versions, .. } => versions.iter().any(|(found, version)| found == key && *version > 0),
        }
    }
}

impl<R> JobService<R>
where
    R: RowStore,
{
    /// Creates a service on the store `rows`.
    pub fn new(rows: R, view: Rc<ConfigView>, hints: Rc<Hints>) -> Self {
        Self {
            rows,
            view,
            hints,
            withdrawals: RefCell::default(),
        }
    }

    /// The instance's copy of the configuration.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Time after which a denied caller should retry, in seconds. It is short at first, as another instance may serve
    /// the request. It is longer once the store has been down for some time, since the store is then likely to stay
    /// down and callers make only a few attempts.
    pub fn retry_after_s(&self) -> u64 {
        if self.view.age_ms().is_none_or(|age| age >= STORE_OUTAGE_MS) {
            2
        } else {
            1
        }
    }

    /// Determines the queue and the team of a request.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admission, Denial> {
        let config = self.view.fresh_config().ok_or(Denial::Stale)?;
        let (queue, subpath) = config.route(host, path).ok_or(Denial::NoQueue)?;
        let team = match key.and_then(|key| config.team(key)) {
            Some(team) => Arc::clone(&team.name),
            None if queue.open => Arc::from(""),
            None => return Err(Denial::BadKey),
        };
        Ok(Admission {
            queue: Arc::clone(queue),
            config_version: config.version,
            team,
            key_digest: key.map(|key| Sha256::digest(key.as_bytes()).into()),
            subpath: Arc::from(subpath),
        })
    }

    /// Accepts a job. On success it is stored.
    pub async fn submit(
        &self,
        admission: &Admission,
        id: &str,
        graph: JobGraph,
        deadline: Instant,
    ) -> Result<(), Denial> {
        if let Err(error) = graph.check() {
            log::info!(job = id, error:% = error; "job graph is not valid");
            return Err(Denial::BadJob);
        }
        let submission = Submission {
            queue: admission.queue.name.to_string(),
            team: admission.team.to_string(),
            graph,
            accepted_ms: wall_ms(),
            settings: Some(QueueSettings::of(&admission.queue, admission.config_version)),
        };
        let job = RowKey::new(INTAKE, id);
        let withdrawals = barring_keys(id, &admission.team, admission.key_digest.as_ref());
        let absent = withdrawals.iter().chain([&job]);
        let commit = Commit {
            partition: intake_partition(id),
            expect: absent.map(|key| (key.clone(), 0)).collect(),
            put: vec![(job.clone(), submission.encode_to_vec())],
            remove: Vec::new(),
        };
        let written = self.write(&commit, deadline).await?;
        if withdrawals.iter().any(|key| written.found(key)) && !written.found(&job) {
            return Err(match written {
                // The withdrawal may be removed before that attempt is applied.
                Written::Conflict { unanswered: true, .. } => Denial::Unknown,
                _ => Denial::Withdrawn,
            });
        }
        // Another conflict means that the job was accepted before: the caller chooses the id, so it is the same job.
        self.hints.send(id);
        Ok(())
    }

    /// Looks up the phase of a job.
    pub async fn phase(&self, admission: &Admission, id: &str, deadline: Instant) -> Result<Phase, Denial> {
        let decode_error = || {
            log::error!(job = id; "cannot decode the stored state of a job");
            Denial::Unavailable
        };
        let (phase, team) = if let Some(row) = self.read_row(Range::one(PHASE, id), deadline).await? {
            let (phase, team) = row.value.as_deref().and_then(decode_phase).ok_or_else(decode_error)?;
            (phase, team.to_owned())
        } else {
            // The leader has not taken up the job yet.
            let range = Range::one(INTAKE, id).within(intake_partition(id));
            let row = self.read_row(range, deadline).await?.ok_or(Denial::NoJob)?;
            let submission = row.value.as_deref().and_then(|value| Submission::decode(value).ok());
            (Phase::Queued, submission.ok_or_else(decode_error)?.team)
        };
        if !admission.team.is_empty() && !team.is_empty() && *admission.team != *team {
            return Err(Denial::OtherTeam);
        }
        Ok(phase)
    }

    /// Cancels a job. A job that is not known is withdrawn: it will not be accepted later, either.
    pub async fn cancel(&self, admission: &Admission, id: &str, deadline: Instant) -> Result<(), Denial> {
        loop {
            match self.phase(admission, id, deadline).await {
                Ok(phase) if phase.is_final() => return Ok(()),
                Ok(_) => return self.write_cancellation(id, deadline).await,
                Err(Denial::NoJob) => {}
                Err(denial) => return Err(denial),
            }
            if self.withdraw(admission, id, deadline).await? {
                return Err(Denial::NoJob);
            }
            // The job has been stored since it was looked up.
        }
    }

    /// Makes the store refuse submissions of a job that this caller could cancel, or that were sent with the same key, also
    /// those that are under way, unless the job is stored; returns whether it is not.
    async fn withdraw(&self, admission: &Admission, id: &str, deadline: Instant) -> Result<bool, Denial> {
        if !self.withdrawals.borrow_mut().take(&admission.team, Instant::now()) {
            return Err(Denial::TooMany);
        }
        let keys = withdrawal_keys(id, &admission.team, admission.key_digest.as_ref());
        let commit = Commit {
            partition: intake_partition(id),
            expect: vec![(RowKey::new(INTAKE, id), 0)],
            // Written anew by each call, so that the rows are kept long enough after the last one.
            put: keys.into_iter().map(|key| (key, b"x".to_vec())).collect(),
            remove: Vec::new(),
        };
        Ok(matches!(self.write(&commit, deadline).await?, Written::Applied))
    }

    /// Writes the cancellation of a job that is stored.
    async fn write_cancellation(&self, id: &str, deadline: Instant) -> Result<(), Denial> {
        let row_name = format!("{id}{CANCEL_SUFFIX}");
        let key = RowKey::new(INTAKE, &*row_name);
        let commit = Commit {
            partition: intake_partition(id),
            expect: vec![(key.clone(), 0)],
            put: vec![(key, b"x".to_vec())],
            remove: Vec::new(),
        };
        self.write(&commit, deadline).await?;
        self.hints.send(&row_name);
        Ok(())
    }

    /// Number of jobs of a queue that have not started. The value is at most about two seconds old.
    pub async fn pending_count(&self, admission: &Admission, deadline: Instant) -> Result<u64, Denial> {
        let Some(row) = self.read_row(Range::one(PENDING, "1"), deadline).await? else {
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
                log::error!(queue, error:% = error; "cannot decode the stored number of pending jobs");
                Denial::Unavailable
            });
        }
        Ok(0)
    }

    async fn read_row(&self, range: Range, deadline: Instant) -> Result<Option<Row>, Denial> {
        let give_up_at = (Instant::now() + DECLINED_RETRY_TIME).min(deadline);
        loop {
            match timeout_at(deadline, self.rows.read(&range)).await {
                Ok(Ok(page)) => return Ok(page.rows.into_iter().find(|row| row.key == range.from)),
                Ok(Err(error)) => {
                    log::debug!(table:% = range.table, key:% = range.from, error:% = error; "cannot read a row");
                }
                Err(_) => return Err(Denial::Unavailable),
            }
            if Instant::now() + RETRY_PAUSE >= give_up_at {
                return Err(Denial::Unavailable);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Retries a conditional write until its outcome is known.
    async fn write(&self, commit: &Commit, deadline: Instant) -> Result<Written, Denial> {
        let mut unanswered = false;
        let give_up_at = (Instant::now() + DECLINED_RETRY_TIME).min(deadline);
        loop {
            if !unanswered && Instant::now() + WRITE_TIME_MIN > deadline {
                return Err(Denial::TooLate);
            }
            // The store gives up by itself at the deadline, as it knows whether the write was sent.
            let time_left = deadline.saturating_duration_since(Instant::now());
            match self.rows.commit_within(commit, time_left).await {
                Ok(_) => return Ok(Written::Applied),
                Err(StoreError::Conflict(versions)) => return Ok(Written::Conflict { versions, unanswered }),
                Err(StoreError::Declined(_)) => {}
                Err(error) => {
                    log::debug!(error:% = error; "no answer to a write; retrying");
                    unanswered = true;
                }
            }
            // If an attempt has had no answer, the write may have taken effect even when a later attempt is declined.
            if !unanswered && Instant::now() + RETRY_PAUSE >= give_up_at {
                return Err(Denial::Unavailable);
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return Err(Denial::Unknown);
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
