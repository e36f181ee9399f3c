//! The planner as a state machine.

use std::collections::{BTreeMap, BTreeSet};

use super::attempt::Goal;
use super::claim::Claim;
use super::error::PlannerError;
use super::fleet::Fleet;
use super::pool_store::PoolStore;
use super::request::Request;
use super::tracked_job::TrackedJob;
use crate::job::Phase;
use crate::name::{EndpointName, JobId, PoolName, TeamName};
use crate::plan::{Event, Policy, RunningJob};
use crate::platform::{ListedEndpoint, Version};
use crate::team::Catalog;
use crate::time::Millis;

/// Time for which another planner may have lost on renewing task leases after this one took over: it stops 10 s after
/// its session has lapsed. One more second covers the drift between the clocks.
const PREVIOUS_HOLDER_RENEWAL_MAX: Millis = Millis::from_secs(11);
/// Shortest and longest pause after the table refused a write.
pub(super) const BACKOFF_MIN: Millis = Millis(100);
const BACKOFF_MAX: Millis = Millis::from_secs(2);

/// What a planner needs to know of its instance at one step.
#[derive(Debug, Clone, Copy)]
pub struct StepInput<'a> {
    /// Whether the instance's session is live; without one nothing is placed.
    pub session_live: bool,
    /// Whether task leases may be renewed_until.
    pub renew_leases: bool,
    /// The configuration in force, or the last one known.
    pub catalog: &'a Catalog,
    /// Endpoints in the platform's list.
    pub endpoints: &'a BTreeMap<EndpointName, ListedEndpoint>,
}

/// What a step came to.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Requests to carry out.
    pub requests: Vec<Request>,
    /// Jobs that ended.
    pub ended: Vec<JobId>,
}

/// Planner of one pool.
#[derive(Debug)]
pub struct Planner {
    pub(super) store: PoolStore,
    pub(super) policy: Box<dyn Policy>,
    pub(super) jobs: BTreeMap<JobId, TrackedJob>,
    pub(super) fleet: Fleet,
    /// Jobs whose rows have to be read.
    pub(super) jobs_to_reload: BTreeSet<JobId>,
    pub(super) fenced: bool,
    policy_has_jobs: bool,
    applied_catalog: Option<u64>,
    claimed_at: Millis,
    pub(super) queue_scanned_at: Millis,
    pub(super) backoff: Millis,
    pub(super) retry_at: Millis,
}

impl Planner {
    /// Takes a pool over and loads its rows.
    pub fn claim(claim: Claim, policy: Box<dyn Policy>, now: Millis) -> Result<Self, PlannerError> {
        let mut store = claim.acquire()?;
        let rows = store.load()?;
        let jobs = rows
            .into_iter()
            .filter(|(row, _)| !matches!(row.phase, Phase::Ended { .. }))
            .map(|(row, version)| (row.id.clone(), TrackedJob::from_row(row, version, now)))
            .collect();
        Ok(Self {
            store,
            policy,
            jobs,
            fleet: Fleet::default(),
            jobs_to_reload: BTreeSet::new(),
            fenced: false,
            policy_has_jobs: false,
            applied_catalog: None,
            claimed_at: now,
            queue_scanned_at: now,
            backoff: BACKOFF_MIN,
            retry_at: Millis::ZERO,
        })
    }

    /// The pool.
    pub fn pool(&self) -> &PoolName {
        &self.store.pool
    }

    /// The fencing token.
    pub fn epoch(&self) -> u64 {
        self.store.epoch
    }

    /// Version of the pool row that this planner wrote.
    pub fn pool_version(&self) -> Version {
        self.store.pool_version
    }

    /// Number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.jobs
            .values()
            .filter(|tracked| tracked.row.phase == Phase::Queued)
            .count()
    }

    /// Endpoints in quarantine, with the reason.
    pub fn quarantined(&self) -> BTreeMap<EndpointName, String> {
        let rows = self.store.endpoints.iter();
        rows.filter_map(|(name, (row, _))| Some((name.clone(), row.quarantine.clone()?)))
            .collect()
    }

    /// Guarantees that the capacity left cannot hold now, in a sentence for each team.
    pub fn at_risk(&self) -> BTreeMap<TeamName, String> {
        self.policy.at_risk()
    }

    /// Earliest time at which a step may be needed without a further event.
    pub fn wake_at(&self) -> Option<Millis> {
        self.policy.wake()
    }

    /// Tells of a job that is new or has been cancelled.
    pub fn reload_job(&mut self, job: JobId) {
        self.jobs_to_reload.insert(job);
    }

    /// Goes on as far as possible without waiting for endpoints.
    pub fn step(&mut self, now: Millis, input: StepInput<'_>) -> Result<StepOutput, PlannerError> {
        if self.fenced {
            return Err(PlannerError::Fenced);
        }
        self.update_policy(now, input);
        let mut output = StepOutput::default();
        if now >= self.retry_at {
            match self.sync_table(now, input, &mut output) {
                Ok(()) => {}
                Err(PlannerError::Fenced) => return Err(PlannerError::Fenced),
                Err(error) => {
                    log::warn!("pool {}: {error}", self.store.pool);
                    self.back_off(now);
                }
            }
        }
        output.requests = self.due_requests(now, input.renew_leases);
        Ok(output)
    }

    /// Gives the pool up. Nothing is done for it here after that, whatever becomes of the write.
    pub fn release(&mut self) -> Result<(), PlannerError> {
        self.store.release()?;
        self.fenced = true;
        Ok(())
    }

    pub(super) fn back_off(&mut self, now: Millis) {
        self.retry_at = now + self.backoff;
        self.backoff = Millis(self.backoff.0 * 2).min(BACKOFF_MAX);
    }

    fn update_policy(&mut self, now: Millis, input: StepInput<'_>) {
        if let Some(pool) = input.catalog.pools.get(&self.store.pool) {
            let renewed_until = self.claimed_at + PREVIOUS_HOLDER_RENEWAL_MAX;
            for event in self.fleet.refresh(now, pool, input.endpoints, renewed_until) {
                self.policy.apply(now, event);
            }
        }
        if self.applied_catalog != Some(input.catalog.number) {
            self.applied_catalog = Some(input.catalog.number);
            self.policy.apply(now, Event::Teams(input.catalog.teams.clone()));
        }
        if !self.policy_has_jobs {
            self.policy_has_jobs = true;
            let job_events: Vec<_> = self.jobs.values().map(|tracked| recovery_event(tracked, now)).collect();
            let quarantined = self.quarantined().into_keys().map(Event::EndpointQuarantined);
            for event in job_events.into_iter().chain(quarantined) {
                self.policy.apply(now, event);
            }
        }
        self.mark_lapsed_members(now);
        for (id, tracked) in &mut self.jobs {
            let started = tracked.has_started();
            let Some(attempt) = &mut tracked.attempt else { continue };
            if started && !attempt.start_announced {
                attempt.start_announced = true;
                self.policy.apply(now, Event::Started { job: id.clone() });
            }
        }
    }

    /// Counts the members on endpoints whose leases have lapsed as lost.
    fn mark_lapsed_members(&mut self, now: Millis) {
        let fleet = &self.fleet;
        if !fleet.links.values().any(|link| link.is_down(now)) {
            return;
        }
        for tracked in self.jobs.values_mut() {
            // Nothing of a placed attempt runs, so a silent endpoint need not be waited for.
            let undoing = matches!(tracked.row.phase, Phase::Placed { .. })
                && tracked
                    .attempt
                    .as_ref()
                    .is_some_and(|attempt| attempt.goal != Goal::Run);
            for (member, seat) in tracked.members_mut() {
                let Some(link) = fleet.links.get(&seat.endpoint) else {
                    continue;
                };
                let stopped = link.has_lapsed(now) || (undoing && link.is_down(now));
                member.lost |= stopped && !member.is_terminal();
            }
        }
    }
}

pub(super) fn recovery_event(tracked: &TrackedJob, now: Millis) -> Event {
    let job = tracked.queued_job();
    match &tracked.row.phase {
        Phase::Placed { seats, guaranteed } | Phase::Running { seats, guaranteed } => Event::Recovered(RunningJob {
            job,
            seats: seats.clone(),
            guaranteed: *guaranteed,
            started: now,
        }),
        _ => Event::Queued(job),
    }
}
