//! The planner as a state machine.

use std::collections::{BTreeMap, BTreeSet};

use super::attempt::Goal;
use super::claim::Claim;
use super::error::PlannerError;
use super::fleet::Fleet;
use super::pool_store::Ledger;
use super::request::Request;
use super::tracked_job::Entry;
use crate::job::Phase;
use crate::name::{EndpointName, JobId, PoolName, TeamName};
use crate::plan::{Event, Policy, RunningJob};
use crate::platform::{ListedEndpoint, Version};
use crate::team::Catalog;
use crate::time::Millis;

/// Time for which another planner may have gone on renewing task leases after this one took over: it stops 10 s after
/// its session has lapsed. One more second covers the drift between the clocks.
const FORMER_RENEWALS: Millis = Millis::from_secs(11);
/// Shortest and longest pause after the table refused a write.
pub(super) const PAUSE_MIN: Millis = Millis(100);
const PAUSE_MAX: Millis = Millis::from_secs(2);

/// What a planner needs to know of its instance at one step.
#[derive(Debug, Clone, Copy)]
pub struct StepInput<'a> {
    /// Whether the instance's session is live; without one nothing is placed.
    pub session_live: bool,
    /// Whether task leases may be renewed.
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
    pub(super) ledger: Ledger,
    pub(super) policy: Box<dyn Policy>,
    pub(super) entries: BTreeMap<JobId, Entry>,
    pub(super) fleet: Fleet,
    /// Jobs whose rows have to be read.
    pub(super) wakes: BTreeSet<JobId>,
    pub(super) fenced: bool,
    announced: bool,
    catalog: Option<u64>,
    claimed: Millis,
    pub(super) scanned: Millis,
    pub(super) pause: Millis,
    pub(super) quiet_until: Millis,
}

impl Planner {
    /// Takes a pool over and loads its rows.
    pub fn claim(claim: Claim, policy: Box<dyn Policy>, now: Millis) -> Result<Self, PlannerError> {
        let mut ledger = claim.take()?;
        let rows = ledger.load()?;
        let entries = rows
            .into_iter()
            .filter(|(row, _)| !matches!(row.phase, Phase::Ended { .. }))
            .map(|(row, version)| (row.id.clone(), Entry::found(row, version, now)))
            .collect();
        Ok(Self {
            ledger,
            policy,
            entries,
            fleet: Fleet::default(),
            wakes: BTreeSet::new(),
            fenced: false,
            announced: false,
            catalog: None,
            claimed: now,
            scanned: now,
            pause: PAUSE_MIN,
            quiet_until: Millis::ZERO,
        })
    }

    /// The pool.
    pub fn pool(&self) -> &PoolName {
        &self.ledger.pool
    }

    /// The fencing token.
    pub fn epoch(&self) -> u64 {
        self.ledger.epoch
    }

    /// Version of the pool row that this planner wrote.
    pub fn fence(&self) -> Version {
        self.ledger.fence
    }

    /// Number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.row.phase == Phase::Queued)
            .count()
    }

    /// Endpoints in quarantine, with the reason.
    pub fn quarantined(&self) -> BTreeMap<EndpointName, String> {
        let rows = self.ledger.endpoints.iter();
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
        self.wakes.insert(job);
    }

    /// Goes on as far as possible without waiting for endpoints.
    pub fn step(&mut self, now: Millis, view: StepInput<'_>) -> Result<StepOutput, PlannerError> {
        if self.fenced {
            return Err(PlannerError::Fenced);
        }
        self.observe(now, view);
        let mut progress = StepOutput::default();
        if now >= self.quiet_until {
            match self.write(now, view, &mut progress) {
                Ok(()) => {}
                Err(PlannerError::Fenced) => return Err(PlannerError::Fenced),
                Err(error) => {
                    log::warn!("pool {}: {error}", self.ledger.pool);
                    self.back_off(now);
                }
            }
        }
        progress.requests = self.requests(now, view.renew_leases);
        Ok(progress)
    }

    /// Gives the pool up. Nothing is done for it here after that, whatever becomes of the write.
    pub fn release(&mut self) -> Result<(), PlannerError> {
        self.ledger.release()?;
        self.fenced = true;
        Ok(())
    }

    pub(super) fn back_off(&mut self, now: Millis) {
        self.quiet_until = now + self.pause;
        self.pause = Millis(self.pause.0 * 2).min(PAUSE_MAX);
    }

    fn observe(&mut self, now: Millis, view: StepInput<'_>) {
        if let Some(pool) = view.catalog.pools.get(&self.ledger.pool) {
            let renewed = self.claimed + FORMER_RENEWALS;
            for event in self.fleet.refresh(now, pool, view.endpoints, renewed) {
                self.policy.apply(now, event);
            }
        }
        if self.catalog != Some(view.catalog.number) {
            self.catalog = Some(view.catalog.number);
            self.policy.apply(now, Event::Teams(view.catalog.teams.clone()));
        }
        if !self.announced {
            self.announced = true;
            let entries: Vec<_> = self.entries.values().map(|entry| announcement(entry, now)).collect();
            let quarantined = self.quarantined().into_keys().map(Event::EndpointQuarantined);
            for event in entries.into_iter().chain(quarantined) {
                self.policy.apply(now, event);
            }
        }
        self.lapse(now);
        for (id, entry) in &mut self.entries {
            let released = entry.is_released();
            let Some(attempt) = &mut entry.attempt else { continue };
            if released && !attempt.announced {
                attempt.announced = true;
                self.policy.apply(now, Event::Started { job: id.clone() });
            }
        }
    }

    /// Counts the members on endpoints whose leases have lapsed as gone.
    fn lapse(&mut self, now: Millis) {
        let fleet = &self.fleet;
        if !fleet.contacts.values().any(|contact| contact.is_down(now)) {
            return;
        }
        for entry in self.entries.values_mut() {
            // Nothing of a placed attempt runs, so a silent endpoint need not be waited for.
            let undone = matches!(entry.row.phase, Phase::Placed { .. })
                && entry.attempt.as_ref().is_some_and(|attempt| attempt.goal != Goal::Run);
            for (member, seat) in entry.members_mut() {
                let Some(contact) = fleet.contacts.get(&seat.endpoint) else {
                    continue;
                };
                let over = contact.has_lapsed(now) || (undone && contact.is_down(now));
                member.gone |= over && !member.is_settled();
            }
        }
    }
}

pub(super) fn announcement(entry: &Entry, now: Millis) -> Event {
    let job = entry.queued_job();
    match &entry.row.phase {
        Phase::Placed { seats, guaranteed } | Phase::Running { seats, guaranteed } => Event::Recovered(RunningJob {
            job,
            seats: seats.clone(),
            guaranteed: *guaranteed,
            started: now,
        }),
        _ => Event::Queued(job),
    }
}
