//! Baseline policies that the product's policy is compared with.
//!
//! A baseline places gangs as a whole, enforces quotas by the number of accelerators and never stops a job. It does not
//! place a job again on an endpoint on which the job failed; otherwise an endpoint on which everything fails would get
//! the same job forever.

use std::collections::{BTreeMap, BTreeSet};

use yuccaridge::job::{Seat, Shape};
use yuccaridge::name::{EndpointName, JobId, TeamName};
use yuccaridge::plan::{Decision, Event, Policy, QueuedJob};
use yuccaridge::team::Team;
use yuccaridge::time::Millis;

use super::fit::{AcceleratorMasks, EndpointOrder, find_seats};
use super::fleet_capacity::{FleetCapacity, accelerator_mask};

/// Assumed run time of a job without a declared one.
const UNDECLARED_RUN_TIME: Millis = Millis::from_secs(3600);

/// Kind of baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineKind {
    /// Places jobs in order of arrival on the first endpoints that fit; skips jobs that do not fit.
    FirstFit,
    /// Like first fit, but on the endpoints with the fewest free accelerators.
    BestFit,
    /// Like first fit, with a reservation for the first job that does not fit. Later jobs that would still run at the
    /// reserved start by their declared run times cannot use the reserved accelerators.
    Backfill,
}

#[derive(Debug)]
struct PlacedJob {
    job: QueuedJob,
    seats: Vec<Seat>,
    declared_end: Millis,
}

/// Reserved start of one job.
#[derive(Debug)]
struct Reservation {
    start: Millis,
    accelerators: AcceleratorMasks,
}

/// A baseline policy.
#[derive(Debug)]
pub struct Baseline {
    kind: BaselineKind,
    capacity: FleetCapacity,
    teams: BTreeMap<TeamName, Team>,
    used_accelerators: BTreeMap<TeamName, u32>,
    queue: BTreeMap<(Millis, JobId), QueuedJob>,
    placed: BTreeMap<JobId, PlacedJob>,
    avoided: BTreeMap<JobId, BTreeSet<EndpointName>>,
}

impl Baseline {
    /// Creates a baseline without endpoints or jobs.
    pub fn new(kind: BaselineKind) -> Self {
        Self {
            kind,
            capacity: FleetCapacity::default(),
            teams: BTreeMap::new(),
            used_accelerators: BTreeMap::new(),
            queue: BTreeMap::new(),
            placed: BTreeMap::new(),
            avoided: BTreeMap::new(),
        }
    }

    fn release(&mut self, id: &JobId) -> Option<QueuedJob> {
        let placed = self.placed.remove(id)?;
        self.capacity.release(&placed.job.shape, &placed.seats);
        *self.used_accelerators.entry(placed.job.team.clone()).or_default() -= placed.job.shape.total_accelerators();
        Some(placed.job)
    }

    /// Excludes the endpoint for the job. A job that has failed on as many endpoints as there are may use all again.
    fn record_failure(&mut self, id: &JobId, endpoint: Option<EndpointName>) {
        let Some(endpoint) = endpoint else {
            return;
        };
        let avoided = self.avoided.entry(id.clone()).or_default();
        avoided.insert(endpoint);
        if avoided.len() >= self.capacity.endpoints().count() {
            avoided.clear();
        }
    }

    fn within_quota(&self, job: &QueuedJob) -> bool {
        let used = self.used_accelerators.get(&job.team).copied().unwrap_or(0);
        let quota = self.teams.get(&job.team).map_or(0, |team| team.quota);
        used + job.shape.total_accelerators() <= quota
    }

    /// Accelerators that the job must not use: the reserved ones and those of endpoints on which it failed.
    fn excluded(&self, job: &QueuedJob, reservation: Option<&Reservation>) -> AcceleratorMasks {
        let mut mask = reservation.map(|r| r.accelerators.clone()).unwrap_or_default();
        for endpoint in self.avoided.get(&job.id).into_iter().flatten() {
            mask.insert(endpoint.clone(), u64::MAX);
        }
        mask
    }

    fn order(&self) -> EndpointOrder {
        match self.kind {
            BaselineKind::BestFit => EndpointOrder::FewestFree,
            BaselineKind::FirstFit | BaselineKind::Backfill => EndpointOrder::ByName,
        }
    }

    fn declared_end(now: Millis, job: &QueuedJob) -> Millis {
        now + if job.declared == Millis::ZERO {
            UNDECLARED_RUN_TIME
        } else {
            job.declared
        }
    }

    /// Earliest start of a job by the declared ends of the placed jobs, with the accelerators that it would use.
    fn reserve(&self, now: Millis, job: &QueuedJob) -> Option<Reservation> {
        let mut capacity = self.capacity.clone();
        let mut running: Vec<&PlacedJob> = self.placed.values().collect();
        running.sort_by_key(|placed| placed.declared_end);
        let avoided = self.excluded(job, None);
        for placed in running {
            capacity.release(&placed.job.shape, &placed.seats);
            let Some(seats) = find_seats(&capacity, &job.shape, self.order(), &avoided) else {
                continue;
            };
            let mut accelerators = AcceleratorMasks::new();
            for seat in &seats {
                *accelerators.entry(seat.endpoint.clone()).or_default() |= accelerator_mask(seat).unwrap_or(0);
            }
            return Some(Reservation {
                start: placed.declared_end.max(now),
                accelerators,
            });
        }
        None
    }

    fn seats_for(&self, now: Millis, job: &QueuedJob, reservation: Option<&Reservation>) -> Option<Vec<Seat>> {
        if let Some(r) = reservation
            && Self::declared_end(now, job) <= r.start
        {
            return find_seats(&self.capacity, &job.shape, self.order(), &self.excluded(job, None));
        }
        find_seats(
            &self.capacity,
            &job.shape,
            self.order(),
            &self.excluded(job, reservation),
        )
    }

    fn place(&mut self, now: Millis, job: QueuedJob, seats: Vec<Seat>) -> Decision {
        let allocated = self.capacity.allocate(&job.shape, &seats);
        debug_assert!(allocated.is_ok(), "{allocated:?}");
        *self.used_accelerators.entry(job.team.clone()).or_default() += job.shape.total_accelerators();
        let decision = Decision::Place {
            job: job.id.clone(),
            seats: seats.clone(),
            guaranteed: false,
        };
        let declared_end = Self::declared_end(now, &job);
        self.placed.insert(
            job.id.clone(),
            PlacedJob {
                job,
                seats,
                declared_end,
            },
        );
        decision
    }
}

impl Policy for Baseline {
    fn apply(&mut self, _now: Millis, event: Event) {
        match event {
            Event::Teams(teams) => self.teams = teams,
            Event::EndpointUp(spec) => self.capacity.add(spec),
            Event::EndpointQuarantined(endpoint) | Event::EndpointLeaving(endpoint) | Event::EndpointDown(endpoint) => {
                self.capacity.close(&endpoint);
            }
            Event::Queued(job) => {
                self.queue.insert((job.accepted_at, job.id.clone()), job);
            }
            Event::Withdrawn(id) => self.queue.retain(|key, _| key.1 != id),
            Event::Unplaced { job, endpoint } => {
                self.record_failure(&job, endpoint);
                if let Some(job) = self.release(&job) {
                    self.queue.insert((job.accepted_at, job.id.clone()), job);
                }
            }
            Event::Ended { job, endpoint, .. } => {
                self.record_failure(&job, endpoint);
                self.release(&job);
            }
            Event::Recovered(_) | Event::Started { .. } | Event::Usage { .. } => {}
        }
    }

    fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut reservation = None;
        // Nothing is released during a round, so a shape that did not fit once does not fit later.
        let mut failed: BTreeSet<(Shape, bool)> = BTreeSet::new();
        let keys: Vec<(Millis, JobId)> = self.queue.keys().cloned().collect();
        for key in keys {
            let job = &self.queue[&key];
            let ends_before_reservation = reservation
                .as_ref()
                .is_some_and(|r: &Reservation| Self::declared_end(now, job) <= r.start);
            if !self.within_quota(job) || failed.contains(&(job.shape, ends_before_reservation)) {
                continue;
            }
            if let Some(seats) = self.seats_for(now, job, reservation.as_ref()) {
                if let Some(job) = self.queue.remove(&key) {
                    decisions.push(self.place(now, job, seats));
                }
                continue;
            }
            if !self.avoided.contains_key(&job.id) {
                failed.insert((job.shape, ends_before_reservation));
            }
            if self.kind == BaselineKind::Backfill && reservation.is_none() {
                reservation = self.reserve(now, job);
            }
        }
        decisions
    }

    fn wake_at(&self) -> Option<Millis> {
        None
    }
}
