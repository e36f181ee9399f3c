//! Policies to compare with.
//!
//! All of them place gangs whole, keep quotas by count and never stop a job. A job does not return to an endpoint on
//! which it failed; without that rule an endpoint that fails everything would hold the same job for ever.

use std::collections::{BTreeMap, BTreeSet};

use yuccaridge::job::{Seat, Shape};
use yuccaridge::name::{EndpointName, JobId, TeamName};
use yuccaridge::plan::{Decision, Event, Policy, QueuedJob};
use yuccaridge::team::Team;
use yuccaridge::time::Millis;

use super::fit::{Mask, Order, fit};
use super::fleet_capacity::{Ledger, bits};

/// Run time assumed for a job that declares none.
const UNDECLARED: Millis = Millis::from_secs(3600);

/// Kind of baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Each job in order of arrival goes to the first endpoints that hold it; jobs that do not fit are passed over.
    FirstFit,
    /// Like the first, but on the endpoints with the fewest free accelerators.
    BestFit,
    /// The first job that does not fit gets a reservation by declared run times; later jobs must not delay it.
    Backfill,
}

#[derive(Debug)]
struct Placed {
    job: QueuedJob,
    seats: Vec<Seat>,
    end: Millis,
}

/// Start that is kept for one job.
#[derive(Debug)]
struct Reservation {
    start: Millis,
    mask: Mask,
}

/// A baseline with its state.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    ledger: Ledger,
    teams: BTreeMap<TeamName, Team>,
    used: BTreeMap<TeamName, u32>,
    queue: BTreeMap<(Millis, JobId), QueuedJob>,
    placed: BTreeMap<JobId, Placed>,
    avoid: BTreeMap<JobId, BTreeSet<EndpointName>>,
}

impl Baseline {
    /// A baseline without endpoints.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            ledger: Ledger::default(),
            teams: BTreeMap::new(),
            used: BTreeMap::new(),
            queue: BTreeMap::new(),
            placed: BTreeMap::new(),
            avoid: BTreeMap::new(),
        }
    }

    fn release(&mut self, id: &JobId) -> Option<QueuedJob> {
        let placed = self.placed.remove(id)?;
        self.ledger.give(&placed.job.shape, &placed.seats);
        *self.used.entry(placed.job.team.clone()).or_default() -= placed.job.shape.total_accelerators();
        Some(placed.job)
    }

    fn blame(&mut self, id: &JobId, endpoint: Option<EndpointName>) {
        let Some(endpoint) = endpoint else {
            return;
        };
        let avoid = self.avoid.entry(id.clone()).or_default();
        avoid.insert(endpoint);
        if avoid.len() >= self.ledger.rooms().count() {
            avoid.clear();
        }
    }

    fn within_quota(&self, job: &QueuedJob) -> bool {
        let used = self.used.get(&job.team).copied().unwrap_or(0);
        let quota = self.teams.get(&job.team).map_or(0, |team| team.quota);
        used + job.shape.total_accelerators() <= quota
    }

    fn mask(&self, job: &QueuedJob, reserved: Option<&Reservation>) -> Mask {
        let mut mask = reserved.map(|r| r.mask.clone()).unwrap_or_default();
        for endpoint in self.avoid.get(&job.id).into_iter().flatten() {
            mask.insert(endpoint.clone(), u64::MAX);
        }
        mask
    }

    fn order(&self) -> Order {
        match self.rule {
            Rule::BestFit => Order::Best,
            Rule::FirstFit | Rule::Backfill => Order::First,
        }
    }

    fn end(now: Millis, job: &QueuedJob) -> Millis {
        now + if job.declared == Millis::ZERO {
            UNDECLARED
        } else {
            job.declared
        }
    }

    /// Earliest start of a job by the declared ends of what runs, with the accelerators that it would use then.
    fn reserve(&self, now: Millis, job: &QueuedJob) -> Option<Reservation> {
        let mut ledger = self.ledger.clone();
        let mut running: Vec<&Placed> = self.placed.values().collect();
        running.sort_by_key(|placed| placed.end);
        let avoid = self.mask(job, None);
        for placed in running {
            ledger.give(&placed.job.shape, &placed.seats);
            let Some(seats) = fit(&ledger, &job.shape, self.order(), &avoid) else {
                continue;
            };
            let mut mask = Mask::new();
            for seat in &seats {
                *mask.entry(seat.endpoint.clone()).or_default() |= bits(seat).unwrap_or(0);
            }
            return Some(Reservation {
                start: placed.end.max(now),
                mask,
            });
        }
        None
    }

    fn seats(&self, now: Millis, job: &QueuedJob, reserved: Option<&Reservation>) -> Option<Vec<Seat>> {
        if let Some(r) = reserved
            && Self::end(now, job) <= r.start
        {
            return fit(&self.ledger, &job.shape, self.order(), &self.mask(job, None));
        }
        fit(&self.ledger, &job.shape, self.order(), &self.mask(job, reserved))
    }

    fn place(&mut self, now: Millis, job: QueuedJob, seats: Vec<Seat>) -> Decision {
        let taken = self.ledger.take(&job.shape, &seats);
        debug_assert!(taken.is_ok(), "{taken:?}");
        *self.used.entry(job.team.clone()).or_default() += job.shape.total_accelerators();
        let decision = Decision::Place {
            job: job.id.clone(),
            seats: seats.clone(),
            guaranteed: false,
        };
        let end = Self::end(now, &job);
        self.placed.insert(job.id.clone(), Placed { job, seats, end });
        decision
    }
}

impl Policy for Baseline {
    fn apply(&mut self, _now: Millis, event: Event) {
        match event {
            Event::Teams(teams) => self.teams = teams,
            Event::EndpointUp(spec) => self.ledger.add(spec),
            Event::EndpointQuarantined(endpoint) | Event::EndpointLeaving(endpoint) | Event::EndpointDown(endpoint) => {
                self.ledger.close(&endpoint);
            }
            Event::Queued(job) => {
                self.queue.insert((job.accepted_at, job.id.clone()), job);
            }
            Event::Withdrawn(id) => self.queue.retain(|key, _| key.1 != id),
            Event::Unplaced { job, endpoint } => {
                self.blame(&job, endpoint);
                if let Some(job) = self.release(&job) {
                    self.queue.insert((job.accepted_at, job.id.clone()), job);
                }
            }
            Event::Ended { job, endpoint, .. } => {
                self.blame(&job, endpoint);
                self.release(&job);
            }
            Event::Recovered(_) | Event::Started { .. } | Event::Usage { .. } => {}
        }
    }

    fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut reserved = None;
        // Nothing becomes free within one round, so a shape that failed once fails again.
        let mut failed: BTreeSet<(Shape, bool)> = BTreeSet::new();
        let keys: Vec<(Millis, JobId)> = self.queue.keys().cloned().collect();
        for key in keys {
            let job = &self.queue[&key];
            let early = reserved
                .as_ref()
                .is_some_and(|r: &Reservation| Self::end(now, job) <= r.start);
            if !self.within_quota(job) || failed.contains(&(job.shape, early)) {
                continue;
            }
            if let Some(seats) = self.seats(now, job, reserved.as_ref()) {
                if let Some(job) = self.queue.remove(&key) {
                    decisions.push(self.place(now, job, seats));
                }
                continue;
            }
            if !self.avoid.contains_key(&job.id) {
                failed.insert((job.shape, early));
            }
            if self.rule == Rule::Backfill && reserved.is_none() {
                reserved = self.reserve(now, job);
            }
        }
        decisions
    }

    fn wake_at(&self) -> Option<Millis> {
        None
    }
}
