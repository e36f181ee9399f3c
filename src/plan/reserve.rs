//! Reservations: the oldest due job is promised seats at a future time.
//!
//! That time is the earliest at which enough running jobs are expected to have ended. Smaller borrowers that checkpoint
//! count as ended once they have run for a while, since they can be preempted. Until then, other jobs may be backfilled
//! onto the seats if they end before that time or can be preempted. When the time has come, borrowers that still hold
//! the seats are stopped. If guaranteed jobs still hold them, a new reservation is made.

use std::collections::BTreeMap;

use super::endpoint::{Endpoint, Resources, Task};
use super::job_entry::{Claim, preemptible};
use super::place::{self, Offer};
use super::{Decision, QueuedJob, Scheduler, StopReason, Weights, mask};
use crate::job::Seat;
use crate::name::JobId;
use crate::time::Millis;

/// A guaranteed job that has exceeded its expected end is expected to run for this much longer.
const OVERRUN_ESTIMATE: Millis = Millis::from_secs(300);

/// A borrower is stopped for a gang only if the gang is larger by this factor, so that gangs do not stop each other in
/// turn.
const SIZE_RATIO_MIN: u32 = 2;
/// The same factor for a borrower that cannot resume, since it loses its work.
const RESTART_SIZE_RATIO_MIN: u32 = 8;
/// Minimum wait of a gang, scaled by the completion weight, before a borrower that cannot resume is stopped for it,
/// since restarts cost completion time.
const RESTART_WAIT_MIN_SECS: f64 = 1500.0;
/// Minimum wait of a gang, scaled by the completion weight, before smaller borrowers that checkpoint are stopped for
/// it.
const PREEMPT_WAIT_MIN_SECS: f64 = 375.0;
/// Minimum run time of a borrower that checkpoints before it is stopped for a gang.
const RUN_TIME_MIN: Millis = Millis::from_secs(120);
/// Maximum number of times considered for a reservation; a finer resolution would be lost in the error of the
/// estimates.
const CANDIDATE_TIMES_MAX: usize = 64;

/// Seats promised to a job.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    /// The job.
    pub job: JobId,
    /// When the seats are expected to be free.
    pub at: Millis,
    /// When the reservation was made.
    pub made_at: Millis,
    seats: Vec<Seat>,
    endpoints: BTreeMap<usize, u64>,
}

impl Reservation {
    /// Whether seats on an endpoint are promised.
    pub(super) fn uses(&self, endpoint: usize) -> bool {
        self.endpoints.contains_key(&endpoint)
    }
}

impl Scheduler {
    /// Promises seats to a waiting job, if it would get any once all running jobs have ended.
    pub(super) fn reserve(&mut self, now: Millis, job: &QueuedJob) {
        let mut ends = Vec::new();
        for endpoint in self.fleet.endpoints() {
            for task in &endpoint.tasks {
                ends.push(vacate_time(now, self.weights, job, task));
            }
        }
        ends.sort_unstable();
        ends.dedup();
        let step = ends.len().div_ceil(CANDIDATE_TIMES_MAX).max(1);
        let ends = ends.into_iter().rev().step_by(step).collect::<Vec<_>>();
        let last = ends.len();
        // More members fit the later the time is, so the earliest sufficient end is found by bisection. The ends are in
        // descending order.
        let (mut low, mut high) = (0, last);
        while low < high {
            let middle = usize::midpoint(low, high);
            if self.fits_at(now, job, ends[middle]) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let Some(&at) = low.checked_sub(1).and_then(|index| ends.get(index)) else {
            return;
        };
        let Some(seats) = self.seats_at(now, job, at) else {
            return;
        };
        let mut endpoints = BTreeMap::<usize, (u64, Resources)>::new();
        for seat in &seats {
            let reserved = endpoints.entry(self.fleet.index_or_absent(&seat.endpoint)).or_default();
            reserved.0 |= mask::from_indices(&seat.accelerators);
            reserved.1.add(&job.shape);
        }
        let mut masks = BTreeMap::new();
        for (index, (mask, load)) in endpoints {
            self.fleet.set_reserved(index, mask, load);
            masks.insert(index, mask);
        }
        self.reservation = Some(Reservation {
            job: job.id.clone(),
            at,
            made_at: now,
            seats,
            endpoints: masks,
        });
        self.order.capacity_freed();
    }

    /// Whether a job could get seats at a time, if jobs end as expected.
    fn fits_at(&self, now: Millis, job: &QueuedJob, at: Millis) -> bool {
        let mut groups = BTreeMap::<usize, u64>::new();
        for (index, endpoint) in self.fleet.endpoints().iter().enumerate() {
            if !endpoint.usable() || self.avoids(now, endpoint, job) {
                continue;
            }
            let gone = |task: &Task| vacate_time(now, self.weights, job, task) <= at;
            let members = endpoint.members_without(&job.shape, endpoint.free(), gone);
            if members == 0 || self.is_reserved(endpoint, job) {
                continue;
            }
            let total = groups
                .entry(place::adjacency_group(&self.fleet, job.shape.adjacent, index))
                .or_default();
            *total += members;
            if *total >= u64::from(job.shape.members) {
                return true;
            }
        }
        false
    }

    /// Claims seats for a gang that can be vacated now by stopping smaller borrowers; `false` if there are none.
    pub(super) fn preempt_for_gang(&mut self, now: Millis, job: &QueuedJob, out: &mut Vec<Decision>) -> bool {
        if !self.fits_at(now, job, now) {
            return false;
        }
        let Some(seats) = self.seats_at(now, job, now) else {
            return false;
        };
        let reason = StopReason::Gang { job: job.id.clone() };
        let claim = Claim {
            seats,
            guaranteed: false,
        };
        self.claim(now, job, claim, &reason, out)
    }

    /// Whether an endpoint is part of another job's reservation.
    fn is_reserved(&self, endpoint: &Endpoint, job: &QueuedJob) -> bool {
        let other = self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job != job.id);
        other && (endpoint.reserved != 0 || endpoint.reserved_load.slots != 0)
    }

    /// Seats that a job could get at a time, if jobs end as expected.
    fn seats_at(&self, now: Millis, job: &QueuedJob, at: Millis) -> Option<Vec<Seat>> {
        let mut offers = Vec::new();
        for (index, endpoint) in self.fleet.endpoints().iter().enumerate() {
            if !endpoint.usable() || self.avoids(now, endpoint, job) {
                continue;
            }
            let gone = |task: &Task| vacate_time(now, self.weights, job, task) <= at;
            let members = endpoint.members_without(&job.shape, endpoint.free(), gone);
            if members == 0 || self.is_reserved(endpoint, job) {
                continue;
            }
            let mut free = endpoint.free();
            for task in &endpoint.tasks {
                if gone(task) {
                    free |= task.mask & endpoint.mask & !endpoint.claimed;
                }
            }
            offers.push(Offer {
                endpoint: index,
                members,
                free,
                cost: self.reserve_cost(endpoint, job, members),
            });
        }
        let offers = place::choose_offers(&self.fleet, &job.shape, offers)?;
        place::assign_seats(&self.fleet, &job.shape, &offers)
    }

    fn reserve_cost(&self, endpoint: &Endpoint, job: &QueuedJob, members: u64) -> f64 {
        let mut reclaim_penalty = 0.0;
        if endpoint.cells & !endpoint.guaranteed != 0 {
            reclaim_penalty = 0.5;
        }
        self.cost(endpoint, job, members) + reclaim_penalty
    }

    /// Drops the reservation, if there is one.
    pub(super) fn drop_reservation(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        for index in reservation.endpoints.into_keys() {
            self.fleet.set_reserved(index, 0, Resources::default());
        }
        self.order.capacity_freed();
    }

    /// Once the time of the reservation has come, claims its seats, which stops the borrowers that still hold them.
    pub(super) fn claim_due_reservation(&mut self, now: Millis, out: &mut Vec<Decision>) {
        let Some(reservation) = self.reservation.as_ref().filter(|reservation| reservation.at <= now) else {
            return;
        };
        let (id, seats) = (reservation.job.clone(), reservation.seats.clone());
        self.drop_reservation();
        let Some(job) = self.jobs.get(&id).map(|entry| entry.job.clone()) else {
            return;
        };
        if !preemptible(&job) || !self.order.within_quota(&job) {
            return;
        }
        let claim = Claim {
            seats,
            guaranteed: false,
        };
        let reason = StopReason::Gang { job: id };
        if !self.claim(now, &job, claim, &reason, out) {
            self.reserve(now, &job);
        }
    }
}

/// When a task's seat becomes available to a gang: at the task's expected end, or earlier if it is a smaller borrower
/// that may be stopped.
fn vacate_time(now: Millis, weights: Weights, gang: &QueuedJob, task: &Task) -> Millis {
    let weighted = |secs: f64| Millis((secs * 1000.0 * weights.completion) as u64);
    if task.guaranteed && task.expected_end <= now {
        return now + OVERRUN_ESTIMATE;
    }
    let (task_size, gang_size) = (task.shape.total_accelerators(), gang.shape.total_accelerators());
    let mut end = task.expected_end;
    if !task.guaranteed && task.checkpoints && task_size * SIZE_RATIO_MIN <= gang_size {
        end = end.min((task.started + RUN_TIME_MIN).max(gang.accepted_at + weighted(PREEMPT_WAIT_MIN_SECS)));
    }
    if !task.guaranteed && !task.restarts_exhausted && task_size * RESTART_SIZE_RATIO_MIN <= gang_size {
        end = end.min(gang.accepted_at + weighted(RESTART_WAIT_MIN_SECS));
    }
    end.max(now)
}
