//! The scheduler's state and how events change it.

use std::collections::{BTreeMap, BTreeSet};

use super::cells::Cells;
use super::endpoint::Task;
use super::fleet::Fleet;
use super::guarantee::{self, Shortfall};
use super::health::{Health, Location};
use super::job_entry::{Claim, HeldSeats, JobEntry, Stage, preemptible};
use super::order::Order;
use super::reserve::Reservation;
use super::{Decision, EndKind, EndpointSpec, Estimates, Event, QueuedJob, RunningJob, Weights, mask, pack};
use crate::job::{Seat, Shape};
use crate::name::{EndpointName, JobId, PoolName, RackName, TeamName};
use crate::team::{Level, Team};
use crate::time::Millis;

/// An endpoint that refused a placement gets no new work for this time, so that the refusal is not repeated at once.
const REFUSAL_PAUSE: Millis = Millis::from_secs(2);
/// A job whose placement was not carried out waits this long before it is tried again.
const UNPLACED_PAUSE: Millis = Millis(200);
/// Number of attempts after which a job that cannot resume is no longer stopped for a gang, so that it ends eventually.
const RESTARTS_MAX: u32 = 2;
/// Weight of the expected run time relative to the time waited, in the order inside a team.
const SHORT_FIRST_FACTOR: f64 = 4.0;
/// At most the fleet size divided by this is quarantined; if more endpoints fail, the fault is unlikely to be in the
/// endpoints. A tenth was too few: with 3 broken endpoints out of 24, the third kept failing jobs indefinitely.
const QUARANTINE_DIVISOR: usize = 5;

/// One guaranteed set and the accelerators assigned to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteedCell {
    /// The team.
    pub team: TeamName,
    /// Adjacency of its accelerators.
    pub level: Level,
    /// Number of accelerators.
    pub size: u32,
    /// Accelerators assigned to it, by endpoint.
    pub seats: Vec<Seat>,
}

/// The scheduling policy for one pool.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) pool: PoolName,
    pub(super) weights: Weights,
    pub(super) fleet: Fleet,
    pub(super) cells: Cells,
    pub(super) order: Order,
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    /// Jobs with a claim.
    pub(super) claims: BTreeSet<JobId>,
    pub(super) reservation: Option<Reservation>,
    pub(super) estimates: Estimates,
    pub(super) health: Health,
    /// Decisions made while processing events, returned by the next call of `decide`.
    pub(super) pending: Vec<Decision>,
    /// When pauses of jobs and endpoints end.
    pub(super) retry_times: BTreeSet<Millis>,
    /// Cached results of `is_possible`.
    pub(super) possible_shapes: BTreeMap<Shape, bool>,
    /// Guaranteed jobs that have to be matched to cells.
    pub(super) unmatched: BTreeSet<JobId>,
    pub(super) cells_outdated: bool,
    /// When an endpoint last joined or changed.
    pub(super) joined_at: Millis,
    /// Version of the fleet at the last update.
    pub(super) fleet_version: u64,
    /// Whether the last decision ran out of searches.
    pub(super) has_more: bool,
    /// When the last attempt to preempt or reserve for a job was made.
    pub(super) reservation_tried_at: Millis,
    pub(super) last_decision: Millis,
}

impl Scheduler {
    /// Creates a scheduler without endpoints, teams or jobs.
    pub fn new(pool: PoolName, weights: Weights) -> Self {
        Self {
            pool,
            weights,
            fleet: Fleet::default(),
            cells: Cells::default(),
            order: Order::default(),
            jobs: BTreeMap::new(),
            claims: BTreeSet::new(),
            reservation: None,
            estimates: Estimates::default(),
            health: Health::default(),
            pending: Vec::new(),
            retry_times: BTreeSet::new(),
            possible_shapes: BTreeMap::new(),
            unmatched: BTreeSet::new(),
            cells_outdated: false,
            joined_at: Millis::ZERO,
            fleet_version: 0,
            has_more: false,
            reservation_tried_at: Millis::ZERO,
            last_decision: Millis::ZERO,
        }
    }

    /// The pool that this scheduler decides for.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Guarantees that cannot be claimed in full now because capacity was lost.
    pub fn at_risk(&self) -> Vec<Shortfall> {
        guarantee::shortfalls(&self.cells, &self.fleet, &self.pool)
    }

    /// The accelerators assigned to each guaranteed set now.
    pub fn guaranteed_cells(&self) -> Vec<GuaranteedCell> {
        let mut all = Vec::new();
        for cell in self.cells.all() {
            let mut seats = Vec::new();
            for piece in &cell.pieces {
                seats.push(Seat {
                    endpoint: self.fleet.endpoint(piece.endpoint).spec.name.clone(),
                    accelerators: mask::indices(piece.mask),
                });
            }
            all.push(GuaranteedCell {
                team: cell.team.clone(),
                level: cell.level,
                size: cell.size,
                seats,
            });
        }
        all
    }

    /// Whether a job holds seats inside its team's guarantee. If a ticket removes a guarantee, the preemptible jobs in
    /// it become borrowers.
    pub fn is_guaranteed(&self, job: &JobId) -> bool {
        let held = self.jobs.get(job).and_then(JobEntry::held);
        held.is_some_and(|held| held.guaranteed)
    }

    /// Estimates of run times and endpoint speeds.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// The job with the reservation, and the time at which its seats are expected to be free.
    pub fn reservation(&self) -> Option<(&JobId, Millis)> {
        self.reservation
            .as_ref()
            .map(|reservation| (&reservation.job, reservation.at))
    }

    pub(super) fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Teams(teams) => self.set_teams(&teams),
            Event::EndpointUp(spec) => self.endpoint_up(now, spec),
            Event::EndpointQuarantined(name) => self.endpoint_quarantined(now, &name),
            Event::EndpointLeaving(name) => self.endpoint_leaving(&name),
            Event::EndpointDown(name) => self.endpoint_down(now, &name),
            Event::Queued(job) => self.enqueue(job),
            Event::Recovered(running) => self.recover(running),
            Event::Started { job } => self.job_started(now, &job),
            Event::Usage { .. } => {}
            Event::Unplaced { job, endpoint } => self.placement_failed(now, &job, endpoint.as_ref()),
            Event::Ended { job, kind, endpoint } => self.job_ended(now, &job, kind, endpoint.as_ref()),
            Event::Withdrawn(job) => self.withdraw(&job),
        }
    }

    fn set_teams(&mut self, teams: &BTreeMap<TeamName, Team>) {
        self.order.set_teams(teams);
        pack::reconcile(&mut self.cells, &mut self.fleet, &self.pool, teams);
        for (id, entry) in &self.jobs {
            if entry.held().is_some_and(|held| held.guaranteed) {
                self.unmatched.insert(id.clone());
            }
        }
        for id in self.claims.clone() {
            self.drop_claim(&id);
        }
        self.cells_outdated = true;
    }

    fn endpoint_up(&mut self, now: Millis, spec: EndpointSpec) {
        let speed = self.estimates.speed(&spec.name, &spec.rack);
        let version = self.fleet.version;
        let index = self.fleet.upsert(spec);
        self.fleet.set_speed(index, speed);
        self.fleet.update_fastest();
        if self.fleet.version != version {
            self.joined_at = now;
        }
        self.recheck_endpoint(index);
        self.order.capacity_freed();
    }

    fn endpoint_quarantined(&mut self, now: Millis, name: &EndpointName) {
        let index = self.fleet.index_or_absent(name);
        self.health.quarantine(now, name);
        self.fleet.update(index, |endpoint| endpoint.quarantined = true);
        self.recheck_endpoint(index);
    }

    fn endpoint_leaving(&mut self, name: &EndpointName) {
        let index = self.fleet.index_or_absent(name);
        self.fleet.update(index, |endpoint| endpoint.leaving = true);
        self.recheck_endpoint(index);
    }

    fn endpoint_down(&mut self, now: Millis, name: &EndpointName) {
        let index = self.fleet.index_or_absent(name);
        self.fleet.update(index, |endpoint| {
            endpoint.up = false;
            endpoint.lost_at = now;
        });
        let location = self.location(index);
        self.health.record_loss(now, &location);
        self.recheck_endpoint(index);
    }

    /// Schedules the repair of cells on a changed endpoint and drops claims and a reservation that can no longer use
    /// it.
    pub(super) fn recheck_endpoint(&mut self, index: usize) {
        let affected = self.cells.on_endpoint(index).to_vec();
        self.cells.to_repair.extend(affected);
        let endpoint = self.fleet.endpoint(index);
        let name = &endpoint.spec.name;
        let mut broken = Vec::new();
        for id in &self.claims {
            if let Stage::Claiming(claim) = &self.jobs[id].stage
                && !endpoint.usable()
                && claim.seats.iter().any(|seat| seat.endpoint == *name)
            {
                broken.push(id.clone());
            }
        }
        for id in broken {
            self.drop_claim(&id);
        }
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.uses(index))
        {
            self.drop_reservation();
        }
        self.cells_outdated = true;
    }

    pub(super) fn location(&self, index: usize) -> Location {
        let spec = &self.fleet.endpoint(index).spec;
        Location {
            endpoint: spec.name.clone(),
            rack: spec.rack.clone(),
            domain: spec.domain.clone(),
        }
    }

    fn enqueue(&mut self, job: QueuedJob) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        if let Some(reason) = self.health.rejection_reason(&job.id) {
            self.health.forget_job(&job.id);
            let failed = true;
            self.pending.push(Decision::Reject {
                job: job.id,
                reason,
                failed,
            });
            return;
        }
        let order_delay = self.order_delay(&job);
        self.order.push(&job, order_delay);
        self.jobs.insert(job.id.clone(), JobEntry::new(job));
    }

    fn recover(&mut self, running: RunningJob) {
        self.drop_job(&running.job.id);
        let id = running.job.id.clone();
        if running.guaranteed {
            self.unmatched.insert(id.clone());
        }
        self.cells_outdated = true;
        self.jobs.insert(id.clone(), JobEntry::new(running.job));
        self.record_placement(running.started, &id, &running.seats, running.guaranteed);
        if let Some(entry) = self.jobs.get_mut(&id)
            && let Stage::Holding(held) = &mut entry.stage
        {
            held.started = Some(running.started);
        }
    }

    /// Records that a job holds seats from now on.
    pub(super) fn record_placement(&mut self, now: Millis, id: &JobId, seats: &[Seat], guaranteed: bool) {
        let job = self.jobs[id].job.clone();
        let bound = self.estimates.run_time_bound(&job.team, &job.kind, job.declared);
        for seat in seats {
            let task = Task {
                job: job.id.clone(),
                team: job.team.clone(),
                mask: mask::from_indices(&seat.accelerators),
                guaranteed,
                shape: job.shape,
                checkpoints: job.checkpoints,
                restarts_exhausted: job.attempt >= RESTARTS_MAX,
                started: now,
                expected_end: now + bound,
                stopping: false,
            };
            self.fleet.add_task(&seat.endpoint, task);
        }
        self.order.charge(&job);
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.stage = Stage::Holding(HeldSeats {
                seats: seats.to_vec(),
                guaranteed,
                started: None,
            });
        }
    }

    fn job_started(&mut self, now: Millis, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let job = &entry.job;
        let bound = self.estimates.run_time_bound(&job.team, &job.kind, job.declared);
        let Stage::Holding(held) = &mut entry.stage else {
            return;
        };
        held.started = Some(now);
        let mut slowest = f64::MAX;
        for seat in &held.seats {
            let index = self.fleet.index_or_absent(&seat.endpoint);
            slowest = slowest.min(self.fleet.endpoint(index).speed);
        }
        let end = now + Millis((bound.0 as f64 / slowest.max(0.1)) as u64);
        self.fleet.update_tasks(id, &held.seats, |task| {
            task.started = now;
            task.expected_end = end;
        });
    }

    /// Releases a job's seats or claim; the job itself is kept.
    pub(super) fn release_seats(&mut self, id: &JobId) {
        self.drop_claim(id);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Stage::Holding(held) = std::mem::replace(&mut entry.stage, Stage::Waiting) else {
            return;
        };
        self.fleet.remove_job(id, &held.seats);
        self.order.refund(&entry.job);
        self.order.capacity_freed();
        self.unmatched.remove(id);
        if held.guaranteed && !self.cells.to_repair.is_empty() {
            self.cells_outdated = true;
        }
    }

    /// Drops a claim; the job waits again.
    pub(super) fn drop_claim(&mut self, id: &JobId) {
        if !self.claims.remove(id) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Stage::Claiming(Claim { seats, .. }) = std::mem::replace(&mut entry.stage, Stage::Waiting) else {
            return;
        };
        let shape = entry.job.shape;
        for seat in &seats {
            let index = self.fleet.index_or_absent(&seat.endpoint);
            let mask = mask::from_indices(&seat.accelerators);
            self.fleet.update(index, |endpoint| endpoint.unclaim(&shape, mask));
        }
        let job = entry.job.clone();
        self.order.refund(&job);
        let order_delay = self.order_delay(&job);
        self.order.push(&job, order_delay);
        self.order.capacity_freed();
    }

    pub(super) fn drop_job(&mut self, id: &JobId) {
        self.release_seats(id);
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == *id)
        {
            self.drop_reservation();
        }
        if let Some(entry) = self.jobs.remove(id) {
            self.order.remove(&entry.job);
        }
    }

    fn placement_failed(&mut self, now: Millis, id: &JobId, endpoint: Option<&EndpointName>) {
        if let Some(index) = endpoint.and_then(|name| self.fleet.index(name)) {
            let until = now + REFUSAL_PAUSE;
            self.fleet.update(index, |endpoint| endpoint.paused_until = until);
            self.retry_times.insert(until);
        }
        if self.jobs.get(id).is_none_or(|entry| entry.held().is_none()) {
            return;
        }
        self.health.finish_probe(now, id);
        self.release_seats(id);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.paused_until = now + UNPLACED_PAUSE;
        self.retry_times.insert(entry.paused_until);
        let job = entry.job.clone();
        let order_delay = self.order_delay(&job);
        self.order.push(&job, order_delay);
    }

    /// Delay of a job in the order inside its team, so that short jobs go first in proportion to the completion weight.
    /// A waiting job still goes before all jobs that are accepted later by more than this.
    fn order_delay(&self, job: &QueuedJob) -> Millis {
        let expected = self.estimates.expected_run_time(&job.team, &job.kind, job.declared);
        Millis((expected.0 as f64 * self.weights.completion * SHORT_FIRST_FACTOR) as u64)
    }

    fn job_ended(&mut self, now: Millis, id: &JobId, kind: EndKind, endpoint: Option<&EndpointName>) {
        let Some(entry) = self.jobs.get(id).cloned() else {
            return;
        };
        let endpoint = endpoint.and_then(|name| self.fleet.index(name));
        match kind {
            EndKind::Completed => self.job_completed(now, &entry),
            EndKind::Failed => {
                if let Some(index) = endpoint {
                    self.job_failed(now, &entry.job, index);
                }
            }
            EndKind::Lost => {
                if let Some(index) = endpoint {
                    let location = self.location(index);
                    self.health.record_loss(now, &location);
                }
            }
            EndKind::Cancelled => self.health.forget_job(id),
            EndKind::Stopped => {}
        }
        self.health.finish_probe(now, id);
        self.drop_job(id);
    }

    fn job_completed(&mut self, now: Millis, entry: &JobEntry) {
        let Some(held) = entry.held() else {
            return;
        };
        let job = &entry.job;
        let mut endpoints = BTreeSet::new();
        for seat in &held.seats {
            let index = self.fleet.index_or_absent(&seat.endpoint);
            endpoints.insert((seat.endpoint.clone(), self.fleet.endpoint(index).spec.rack.clone()));
        }
        let endpoints = endpoints.into_iter().collect::<Vec<_>>();
        // A resumed job ran only its remaining part, which says nothing about the whole run time.
        if let (Some(started), true) = (held.started, job.attempt == 0 || !job.checkpoints) {
            let took = now.since(started);
            self.estimates
                .record_run(&job.team, &job.kind, job.declared, took, &endpoints);
            self.update_speeds(&endpoints);
        }
        let endpoints = endpoints.into_iter().map(|(endpoint, _)| endpoint).collect::<Vec<_>>();
        let family = (job.team.clone(), job.kind.clone());
        for name in self.health.record_success(&job.id, &family, &endpoints) {
            let index = self.fleet.index_or_absent(&name);
            self.fleet.update(index, |endpoint| endpoint.quarantined = false);
            self.recheck_endpoint(index);
            self.pending.push(Decision::Reinstate { endpoint: name });
        }
    }

    /// Updates the speeds of all endpoints in the rack of the single endpoint whose speed was learned.
    fn update_speeds(&mut self, learned: &[(EndpointName, RackName)]) {
        let [(_, rack)] = learned else {
            return;
        };
        for index in self.fleet.rack_endpoints(rack) {
            let spec = &self.fleet.endpoint(index).spec;
            let speed = self.estimates.speed(&spec.name, &spec.rack);
            self.fleet.set_speed(index, speed);
        }
        self.fleet.update_fastest();
    }

    fn job_failed(&mut self, now: Millis, job: &QueuedJob, index: usize) {
        let location = self.location(index);
        let family = (job.team.clone(), job.kind.clone());
        let suspect = self.health.record_failure(now, &job.id, family, &location);
        let most = (self.fleet.endpoints().len() / QUARANTINE_DIVISOR).max(1);
        if !suspect || self.health.quarantined_count() >= most {
            return;
        }
        self.health.quarantine(now, &location.endpoint);
        self.fleet.update(index, |endpoint| endpoint.quarantined = true);
        self.recheck_endpoint(index);
        self.pending.push(Decision::Quarantine {
            endpoint: location.endpoint,
            reason: "many different jobs that run well elsewhere failed on this endpoint".to_owned(),
        });
    }

    fn withdraw(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else {
            self.health.forget_job(id);
            return;
        };
        if entry.held().is_none() {
            self.health.forget_job(id);
            self.drop_job(id);
        }
    }

    /// Updates the cells after changes to endpoints, teams or guaranteed jobs.
    pub(super) fn update_cells(&mut self) {
        if self.fleet.version != self.fleet_version {
            self.fleet_version = self.fleet.version;
            self.possible_shapes.clear();
            let (mut accelerators, mut cores) = (0, 0);
            for endpoint in self.fleet.endpoints() {
                accelerators += u64::from(endpoint.mask.count_ones());
                cores += u64::from(endpoint.spec.cores);
            }
            self.order.set_total(accelerators, cores);
        }
        if !std::mem::take(&mut self.cells_outdated) {
            return;
        }
        for id in std::mem::take(&mut self.unmatched) {
            self.match_to_cells(&id);
        }
        pack::repair_cells(&mut self.cells, &mut self.fleet);
        self.order.capacity_freed();
    }

    /// Matches a guaranteed job to its team's cells. A preemptible job for which the cells do not suffice becomes a
    /// borrower.
    fn match_to_cells(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Stage::Holding(held) = &mut entry.stage else {
            return;
        };
        let mut masks = BTreeMap::<usize, u64>::new();
        for seat in &held.seats {
            *masks.entry(self.fleet.index_or_absent(&seat.endpoint)).or_default() |=
                mask::from_indices(&seat.accelerators);
        }
        if pack::match_held(&mut self.cells, &mut self.fleet, &entry.job.team, &masks) || !preemptible(&entry.job) {
            return;
        }
        held.guaranteed = false;
        for &index in masks.keys() {
            self.fleet.update(index, |endpoint| endpoint.demote_to_borrower(id));
        }
    }
}
