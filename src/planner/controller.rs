//! The planner's state machine.

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

/// Time after the claim during which the previous holder may still renew task leases: it stops 10 s after its session
/// has lapsed. One more second covers clock drift.
const PREVIOUS_HOLDER_RENEWAL_MAX: Millis = Millis::from_secs(11);
/// Shortest backoff after a failed table access.
pub(super) const BACKOFF_MIN: Millis = Millis(100);
/// Longest backoff after a failed table access.
const BACKOFF_MAX: Millis = Millis::from_secs(2);

/// State of the instance that a planner needs for one step.
#[derive(Debug, Clone, Copy)]
pub struct StepInput<'a> {
    /// Whether the instance's session is live; without it nothing is placed.
    pub session_live: bool,
    /// Whether task leases may be renewed.
    pub renew_leases: bool,
    /// The configuration in force, or the last known one.
    pub catalog: &'a Catalog,
    /// Endpoints in the platform's list.
    pub endpoints: &'a BTreeMap<EndpointName, ListedEndpoint>,
}

/// Result of a step.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Requests to send to endpoints.
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
    /// Jobs whose rows are read at the next step.
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
    /// Claims a pool and loads its rows.
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

    /// Name of the pool.
    pub fn pool(&self) -> &PoolName {
        &self.store.pool
    }

    /// Epoch of the claim; the fencing token towards endpoints.
    pub fn epoch(&self) -> u64 {
        self.store.epoch
    }

    /// Version of the pool row that this planner wrote.
    pub fn pool_version(&self) -> Version {
        self.store.pool_version
    }

    /// Number of queued jobs.
    pub fn waiting(&self) -> usize {
        self.jobs
            .values()
            .filter(|tracked| tracked.row.phase == Phase::Queued)
            .count()
    }

    /// Quarantined endpoints, with the reason.
    pub fn quarantined(&self) -> BTreeMap<EndpointName, String> {
        let rows = self.store.endpoints.iter();
        rows.filter_map(|(name, (row, _))| Some((name.clone(), row.quarantine.clone()?)))
            .collect()
    }

    /// Teams whose guarantee the remaining capacity cannot meet, each with a sentence on what is missing.
    pub fn at_risk(&self) -> BTreeMap<TeamName, String> {
        self.policy.at_risk()
    }

    /// Earliest time at which a step may be needed although no event arrives.
    pub fn wake_at(&self) -> Option<Millis> {
        self.policy.wake_at()
    }

    /// Reads the row of a new or cancelled job at the next step.
    pub fn reload_job(&mut self, job: JobId) {
        self.jobs_to_reload.insert(job);
    }

    /// Advances all jobs as far as possible without waiting for endpoints.
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
                    log::warn!("pool {}: step failed and will be retried: {error}", self.store.pool);
                    self.back_off(now);
                }
            }
        }
        output.requests = self.due_requests(now, input.renew_leases);
        Ok(output)
    }

    /// Releases the pool. On success the planner counts as fenced and every later step fails.
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

    /// Marks members as lost whose leases have lapsed on an unreachable endpoint.
    fn mark_lapsed_members(&mut self, now: Millis) {
        let fleet = &self.fleet;
        if !fleet.links.values().any(|link| link.is_down(now)) {
            return;
        }
        for tracked in self.jobs.values_mut() {
            // No member of a placed attempt runs, so the lease of an unreachable endpoint need not lapse first.
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
