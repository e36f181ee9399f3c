//! The passes of [`Policy::decide`] for the scheduler.

use std::collections::BTreeMap;

use super::job_entry::preemptible;
use super::{Decision, Event, Policy, QueuedJob, Scheduler};
use crate::job::Seat;
use crate::name::{JobId, TeamName};
use crate::time::Millis;

/// A job that has waited this long is tried before the fair-share order and may reclaim its team's guarantee.
pub const AGED_AFTER: Millis = Millis::from_secs(600);
/// Maximum number of searches in one decision; the remaining jobs follow in the next one, which is due immediately.
const SEARCHES_MAX: usize = 48;
/// Number of searches that a reclaim counts as, since it examines every endpoint.
const RECLAIM_SEARCH_COST: usize = 12;
/// Maximum number of aged jobs considered in one decision.
const AGED_JOBS_MAX: usize = 64;
/// A large job that has waited this long may get a reservation or reclaim its team's guarantee.
const RESERVE_AFTER: Millis = Millis::from_secs(10);
/// A reservation is planned again after this time, since jobs end earlier or later than expected.
const REPLAN_AFTER: Millis = Millis::from_secs(30);
/// Maximum number of jobs considered for preemption or a reservation in one decision.
const DUE_JOBS_MAX: usize = 4;
/// Minimum interval between attempts to make a reservation, the most expensive part of a decision.
const RESERVE_INTERVAL: Millis = Millis::from_secs(1);
/// Minimum number of accelerators of a large job.
const LARGE_ACCELERATORS_MIN: u32 = 8;
/// Maximum number of waiting jobs searched for the oldest large jobs, or for a probe.
const CANDIDATES_MAX: usize = 256;
/// A shape is considered impossible only when no endpoint has joined for this long, since a new planner learns of
/// endpoints one by one.
const JOIN_QUIET_TIME: Millis = Millis::from_secs(10);
/// All waiting jobs are tried again after this time, since estimates and ages change without an event.
const RETRY_INTERVAL: Millis = Millis::from_secs(5);

/// The pass in which a job is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    Urgent,
    Aged,
    Fair,
}

fn is_large(job: &QueuedJob) -> bool {
    job.shape.total_accelerators() >= LARGE_ACCELERATORS_MIN
}

impl Policy for Scheduler {
    fn at_risk(&self) -> BTreeMap<TeamName, String> {
        Self::at_risk(self)
            .into_iter()
            .map(|shortfall| (shortfall.team.clone(), shortfall.to_string()))
            .collect()
    }

    fn apply(&mut self, now: Millis, event: Event) {
        self.handle(now, event);
    }

    fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let mut out = std::mem::take(&mut self.pending);
        self.update_cells();
        self.retry_if_due(now);
        self.finish_claims(now, &mut out);
        self.claim_due_reservation(now, &mut out);
        let mut searches = SEARCHES_MAX;
        self.has_more = false;
        self.try_urgent(now, &mut searches, &mut out);
        self.try_aged(now, &mut searches, &mut out);
        self.try_reserved(now, &mut out);
        self.place_probes(now, &mut out);
        self.try_fair(now, &mut searches, &mut out);
        // A claim without victims can be finished at once; no event would follow that finishes it later.
        self.finish_claims(now, &mut out);
        out
    }

    fn wake_at(&self) -> Option<Millis> {
        if self.has_more || self.cells_outdated || !self.pending.is_empty() {
            return Some(self.last_decision);
        }
        let mut wake = self.retry_times.first().copied();
        let mut earliest = |at: Option<Millis>| {
            if let Some(at) = at {
                wake = Some(wake.map_or(at, |now| now.min(at)));
            }
        };
        earliest(self.reservation.as_ref().map(|reservation| reservation.at));
        if let Some((accepted_at, _)) = self.order.oldest().next() {
            // A probe that is due but finds no suitable job waits for the retry below; otherwise this would wake at
            // once over and over.
            earliest(self.health.next_probe().filter(|at| *at > self.last_decision));
            earliest(Some(self.last_decision + RETRY_INTERVAL));
            earliest(Some(*accepted_at + AGED_AFTER).filter(|at| *at > self.last_decision));
        }
        wake
    }
}

impl Scheduler {
    fn retry_if_due(&mut self, now: Millis) {
        let mut due = now.since(self.last_decision) >= RETRY_INTERVAL;
        while self.retry_times.first().is_some_and(|at| *at <= now) {
            self.retry_times.pop_first();
            due = true;
        }
        if due {
            self.possible_shapes.clear();
            self.order.capacity_freed();
            self.order.discard_old_failures();
        }
        self.last_decision = now;
    }

    fn try_urgent(&mut self, now: Millis, searches: &mut usize, out: &mut Vec<Decision>) {
        // After a placement, the next job of the same class can be tried.
        loop {
            let ids = self.order.urgent();
            let ids = ids.into_iter().map(|(_, id)| id).collect::<Vec<_>>();
            if ids.is_empty() || self.has_more {
                return;
            }
            self.try_all(now, ids, Pass::Urgent, searches, out);
        }
    }

    fn try_aged(&mut self, now: Millis, searches: &mut usize, out: &mut Vec<Decision>) {
        let mut ids = Vec::new();
        for (accepted_at, id) in self.order.oldest().take(AGED_JOBS_MAX) {
            if now.since(*accepted_at) < AGED_AFTER {
                break;
            }
            if !self.order.has_failed(&self.jobs[id].job) {
                ids.push(id.clone());
            }
        }
        self.try_all(now, ids, Pass::Aged, searches, out);
    }

    fn try_all(&mut self, now: Millis, ids: Vec<JobId>, pass: Pass, searches: &mut usize, out: &mut Vec<Decision>) {
        for id in ids {
            if *searches == 0 {
                self.has_more = true;
                return;
            }
            let Some(job) = self.jobs.get(&id).map(|entry| entry.job.clone()) else {
                continue;
            };
            if !self.order.has_failed(&job) {
                self.try_job(now, &job, pass, searches, out);
            }
        }
    }

    fn try_fair(&mut self, now: Millis, searches: &mut usize, out: &mut Vec<Decision>) {
        while let Some(id) = self.order.next_fair() {
            if *searches == 0 {
                self.has_more = true;
                return;
            }
            let job = self.jobs[&id].job.clone();
            self.try_job(now, &job, Pass::Fair, searches, out);
        }
    }

    /// Tries to place one job; a failure is recorded for its class.
    fn try_job(&mut self, now: Millis, job: &QueuedJob, pass: Pass, searches: &mut usize, out: &mut Vec<Decision>) {
        let within = self.order.within_quota(job);
        if self.jobs[&job.id].paused_until > now || !(within || pass == Pass::Urgent) {
            self.order.record_failure(job, false);
            return;
        }
        *searches = searches.saturating_sub(1);
        let large = is_large(job);
        // Small preemptible jobs leave the guarantee to jobs that are not preemptible and to gangs.
        let borrow_first = pass == Pass::Fair && preemptible(job) && !large;
        if borrow_first && self.try_borrow(now, job, out) {
            return;
        }
        if let Some(seats) = self.find_guaranteed(now, job, pass != Pass::Fair) {
            if within {
                self.place(now, &job.id, seats, true, out);
                return;
            }
            if self.claim_guaranteed(now, job, seats, out) {
                return;
            }
        }
        if pass == Pass::Urgent && self.try_reclaim(now, job, searches, out) {
            return;
        }
        if within && !borrow_first && preemptible(job) && self.try_borrow(now, job, out) {
            return;
        }
        let aged = pass == Pass::Aged || (large && now.since(job.accepted_at) >= RESERVE_AFTER);
        if aged && within && self.try_reclaim(now, job, searches, out) {
            return;
        }
        if now.since(self.joined_at) >= JOIN_QUIET_TIME && !self.is_possible(now, &job.shape) {
            self.reject(&job.id, out);
            return;
        }
        self.order.record_failure(job, within && preemptible(job));
    }

    fn try_borrow(&mut self, now: Millis, job: &QueuedJob, out: &mut Vec<Decision>) -> bool {
        if self.order.has_failed_anywhere(job) {
            return false;
        }
        let Some(seats) = self.find_anywhere(now, job) else {
            return false;
        };
        self.place(now, &job.id, seats, false, out);
        true
    }

    fn try_reclaim(&mut self, now: Millis, job: &QueuedJob, searches: &mut usize, out: &mut Vec<Decision>) -> bool {
        if !self.has_unused(job) {
            return false;
        }
        *searches = searches.saturating_sub(RECLAIM_SEARCH_COST);
        self.reclaim(now, job, out)
    }

    fn reject(&mut self, id: &JobId, out: &mut Vec<Decision>) {
        self.health.forget_job(id);
        self.drop_job(id);
        out.push(Decision::Reject {
            job: id.clone(),
            reason: "no endpoint, rack or domain of this pool is large enough for the job, even when empty".to_owned(),
            failed: false,
        });
    }

    /// Records a placement and adds it to the decisions.
    pub(super) fn place(
        &mut self,
        now: Millis,
        id: &JobId,
        seats: Vec<Seat>,
        guaranteed: bool,
        out: &mut Vec<Decision>,
    ) {
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == *id)
        {
            self.drop_reservation();
        }
        let job = self.jobs[id].job.clone();
        self.order.remove(&job);
        self.record_placement(now, id, &seats, guaranteed);
        out.push(Decision::Place {
            job: id.clone(),
            seats,
            guaranteed,
        });
    }

    /// Tries the job with the reservation, preempts smaller borrowers for large jobs that are due, and makes a
    /// reservation for the oldest due job if there is none.
    fn try_reserved(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if let Some(reservation) = &self.reservation {
            let job = self.jobs[&reservation.job].job.clone();
            if !self.order.within_quota(&job) {
                self.drop_reservation();
            } else if let Some(seats) = self.find_anywhere(now, &job) {
                self.place(now, &job.id, seats, false, out);
            } else if now.since(reservation.made_at) >= REPLAN_AFTER {
                self.drop_reservation();
                self.reserve(now, &job);
            }
        }
        if now.since(self.reservation_tried_at) < RESERVE_INTERVAL {
            return;
        }
        self.reservation_tried_at = now;
        let waiting = self.due_jobs(now);
        for job in &waiting {
            if is_large(job) && self.preempt_for_gang(now, job, out) {
                return;
            }
        }
        if let (Some(job), None) = (waiting.first(), &self.reservation) {
            self.reserve(now, job);
        }
    }

    /// The oldest large jobs that have waited for [`RESERVE_AFTER`] and other jobs that have aged.
    fn due_jobs(&self, now: Millis) -> Vec<QueuedJob> {
        let mut due = Vec::new();
        for (accepted_at, id) in self.order.oldest().take(CANDIDATES_MAX) {
            let job = &self.jobs[id].job;
            let waited = now.since(*accepted_at);
            let old = waited >= AGED_AFTER || (is_large(job) && waited >= RESERVE_AFTER);
            let reserved = self
                .reservation
                .as_ref()
                .is_some_and(|reservation| reservation.job == *id);
            if !old || reserved || !preemptible(job) || !self.order.within_quota(job) {
                continue;
            }
            due.push(job.clone());
            if due.len() >= DUE_JOBS_MAX {
                break;
            }
        }
        due
    }

    /// Places an idempotent job with a single member on each quarantined endpoint that is due for a probe.
    fn place_probes(&mut self, now: Millis, out: &mut Vec<Decision>) {
        for name in self.health.due_probes(now) {
            let Some(index) = self.fleet.index(&name) else {
                continue;
            };
            let endpoint = self.fleet.endpoint(index);
            if !endpoint.up || endpoint.leaving {
                continue;
            }
            let mut found = None;
            for (_, id) in self.order.oldest().take(CANDIDATES_MAX) {
                let job = &self.jobs[id].job;
                let single = job.shape.members == 1 && job.idempotent && !self.health.has_failed(id);
                if single && self.order.within_quota(job) && endpoint.fitting_members(&job.shape, endpoint.free()) > 0 {
                    found = Some(job.clone());
                    break;
                }
            }
            let Some(job) = found else {
                continue;
            };
            let mask = super::mask::pick(endpoint.free(), u32::from(job.shape.accelerators)).unwrap_or(0);
            let seat = Seat {
                endpoint: name.clone(),
                accelerators: super::mask::indices(mask),
            };
            self.health.start_probe(now, &name, &job.id);
            self.place(now, &job.id, vec![seat], false, out);
        }
    }
}
