//! The passes of a decision.

use std::collections::BTreeMap;

use super::job_entry::flexible;
use super::{Decision, Event, Policy, QueuedJob, Scheduler};
use crate::job::Seat;
use crate::name::{JobId, TeamName};
use crate::time::Millis;

/// A job that has waited this long goes before the fair order, and reclaims inside its team's guarantee.
pub const AGING: Millis = Millis::from_secs(600);
/// Searches in one decision; the rest follows in the next, which is asked for at once.
const SEARCHES_MAX: usize = 48;
/// Searches that a reclaim counts for, since it looks at every endpoint.
const RECLAIM_SEARCHES: usize = 12;
/// Aged jobs looked at in one decision.
const AGED_MAX: usize = 64;
/// A gang that has waited this long gets a reservation, or reclaims inside its team's guarantee.
const RESERVE_AFTER: Millis = Millis::from_secs(10);
/// A reservation is planned anew after this time, since jobs end earlier or later than expected.
const REPLAN: Millis = Millis::from_secs(30);
/// Gangs looked at for places that they can have at once.
const GANGS_MAX: usize = 4;
/// Time between two attempts to make a reservation, which cost more than all else in a decision.
const RESERVE_PAUSE: Millis = Millis::from_secs(1);
/// Accelerators from which on a job counts as large.
const LARGE: u32 = 8;
/// Jobs looked at to find the oldest large gang.
const CANDIDATES_MAX: usize = 256;
/// A shape is given up only when no endpoint has joined for this long, since a new planner hears of endpoints one by
/// one.
const JOIN_QUIET: Millis = Millis::from_secs(10);
/// Everything is tried again after this time, since estimates and ages change without an event.
const RETRY: Millis = Millis::from_secs(5);

/// How a job is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    Urgent,
    Aged,
    Fair,
}

fn is_large(job: &QueuedJob) -> bool {
    job.shape.total_accelerators() >= LARGE
}

impl Policy for Scheduler {
    fn at_risk(&self) -> BTreeMap<TeamName, String> {
        Self::at_risk(self)
            .into_iter()
            .map(|shortfall| (shortfall.team.clone(), shortfall.to_string()))
            .collect()
    }

    fn apply(&mut self, now: Millis, event: Event) {
        self.take_in(now, event);
    }

    fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let mut out = std::mem::take(&mut self.outbox);
        self.settle();
        self.expire(now);
        self.finish_claims(now, &mut out);
        self.redeem(now, &mut out);
        let mut searches = SEARCHES_MAX;
        self.more = false;
        self.try_urgent(now, &mut searches, &mut out);
        self.try_aged(now, &mut searches, &mut out);
        self.try_reserved(now, &mut out);
        self.probe(now, &mut out);
        self.try_fair(now, &mut searches, &mut out);
        // A claim for which nobody has to go waits for no event.
        self.finish_claims(now, &mut out);
        out
    }

    fn wake_at(&self) -> Option<Millis> {
        if self.more || self.unsettled || !self.outbox.is_empty() {
            return Some(self.last);
        }
        let mut wake = self.retries.first().copied();
        let mut earliest = |at: Option<Millis>| {
            if let Some(at) = at {
                wake = Some(wake.map_or(at, |now| now.min(at)));
            }
        };
        earliest(self.reservation.as_ref().map(|held| held.at));
        if let Some((since, _)) = self.order.oldest().next() {
            // A probe that is due but finds no job waits for the retry below, instead of waking at once again.
            earliest(self.health.next_probe().filter(|at| *at > self.last));
            earliest(Some(self.last + RETRY));
            earliest(Some(*since + AGING).filter(|at| *at > self.last));
        }
        wake
    }
}

impl Scheduler {
    fn expire(&mut self, now: Millis) {
        let mut due = now.since(self.last) >= RETRY;
        while self.retries.first().is_some_and(|at| *at <= now) {
            self.retries.pop_first();
            due = true;
        }
        if due {
            self.shapes.clear();
            self.order.freed();
            self.order.tidy();
        }
        self.last = now;
    }

    fn try_urgent(&mut self, now: Millis, searches: &mut usize, out: &mut Vec<Decision>) {
        // After a placement the next of the same class gets its turn.
        loop {
            let turns = self.order.urgent();
            let turns = turns.into_iter().map(|(_, id)| id).collect::<Vec<_>>();
            if turns.is_empty() || self.more {
                return;
            }
            self.try_all(now, turns, Turn::Urgent, searches, out);
        }
    }

    fn try_aged(&mut self, now: Millis, searches: &mut usize, out: &mut Vec<Decision>) {
        let mut turns = Vec::new();
        for (since, id) in self.order.oldest().take(AGED_MAX) {
            if now.since(*since) < AGING {
                break;
            }
            if !self.order.has_failed(&self.jobs[id].job) {
                turns.push(id.clone());
            }
        }
        self.try_all(now, turns, Turn::Aged, searches, out);
    }

    fn try_all(&mut self, now: Millis, turns: Vec<JobId>, turn: Turn, searches: &mut usize, out: &mut Vec<Decision>) {
        for id in turns {
            if *searches == 0 {
                self.more = true;
                return;
            }
            let Some(job) = self.jobs.get(&id).map(|entry| entry.job.clone()) else {
                continue;
            };
            if !self.order.has_failed(&job) {
                self.attempt(now, &job, turn, searches, out);
            }
        }
    }

    fn try_fair(&mut self, now: Millis, searches: &mut usize, out: &mut Vec<Decision>) {
        while let Some(id) = self.order.next() {
            if *searches == 0 {
                self.more = true;
                return;
            }
            let job = self.jobs[&id].job.clone();
            self.attempt(now, &job, Turn::Fair, searches, out);
        }
    }

    /// Tries one job; a failure is remembered for its class.
    fn attempt(&mut self, now: Millis, job: &QueuedJob, turn: Turn, searches: &mut usize, out: &mut Vec<Decision>) {
        let within = self.order.within_quota(job);
        if self.jobs[&job.id].pause > now || !(within || turn == Turn::Urgent) {
            self.order.fail(job, false);
            return;
        }
        *searches = searches.saturating_sub(1);
        let large = is_large(job);
        // Small jobs that can be stopped leave the guarantee to those that cannot, and to gangs.
        let borrow_first = turn == Turn::Fair && flexible(job) && !large;
        if borrow_first && self.borrow(now, job, out) {
            return;
        }
        if let Some(seats) = self.find_inside(now, job, turn != Turn::Fair) {
            if within {
                self.place(now, &job.id, seats, true, out);
                return;
            }
            if self.claim_inside(now, job, seats, out) {
                return;
            }
        }
        if turn == Turn::Urgent && self.try_reclaim(now, job, searches, out) {
            return;
        }
        if within && !borrow_first && flexible(job) && self.borrow(now, job, out) {
            return;
        }
        let aged = turn == Turn::Aged || (large && now.since(job.accepted_at) >= RESERVE_AFTER);
        if aged && within && self.try_reclaim(now, job, searches, out) {
            return;
        }
        if now.since(self.joined) >= JOIN_QUIET && !self.possible(now, &job.shape) {
            self.reject(&job.id, out);
            return;
        }
        self.order.fail(job, within && flexible(job));
    }

    fn borrow(&mut self, now: Millis, job: &QueuedJob, out: &mut Vec<Decision>) -> bool {
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
        *searches = searches.saturating_sub(RECLAIM_SEARCHES);
        self.reclaim(now, job, out)
    }

    fn reject(&mut self, id: &JobId, out: &mut Vec<Decision>) {
        self.health.forget(id);
        self.drop_job(id);
        out.push(Decision::Reject {
            job: id.clone(),
            reason: "no endpoint, rack or domain of this pool is large enough for the job, even when empty".to_owned(),
            failed: false,
        });
    }

    /// Records and tells a placement.
    pub(super) fn place(&mut self, now: Millis, id: &JobId, seats: Vec<Seat>, firm: bool, out: &mut Vec<Decision>) {
        if self.reservation.as_ref().is_some_and(|held| held.job == *id) {
            self.drop_reservation();
        }
        let job = self.jobs[id].job.clone();
        self.order.remove(&job);
        self.hold(now, id, &seats, firm);
        out.push(Decision::Place {
            job: id.clone(),
            seats,
            guaranteed: firm,
        });
    }

    /// Tries the job that has a reservation, or makes one for the oldest large gang.
    fn try_reserved(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if let Some(held) = &self.reservation {
            let job = self.jobs[&held.job].job.clone();
            if !self.order.within_quota(&job) {
                self.drop_reservation();
            } else if let Some(seats) = self.find_anywhere(now, &job) {
                self.place(now, &job.id, seats, false, out);
            } else if now.since(held.made) >= REPLAN {
                self.drop_reservation();
                self.reserve(now, &job);
            }
        }
        if now.since(self.sought) < RESERVE_PAUSE {
            return;
        }
        self.sought = now;
        let waiting = self.due_gangs(now);
        for job in &waiting {
            if is_large(job) && self.seize(now, job, out) {
                return;
            }
        }
        if let (Some(job), None) = (waiting.first(), &self.reservation) {
            self.reserve(now, job);
        }
    }

    /// The oldest gangs that have waited long enough, and other jobs that have aged.
    fn due_gangs(&self, now: Millis) -> Vec<QueuedJob> {
        let mut due = Vec::new();
        for (since, id) in self.order.oldest().take(CANDIDATES_MAX) {
            let job = &self.jobs[id].job;
            let waited = now.since(*since);
            let old = waited >= AGING || (is_large(job) && waited >= RESERVE_AFTER);
            let reserved = self.reservation.as_ref().is_some_and(|held| held.job == *id);
            if !old || reserved || !flexible(job) || !self.order.within_quota(job) {
                continue;
            }
            due.push(job.clone());
            if due.len() >= GANGS_MAX {
                break;
            }
        }
        due
    }

    /// Gives one small job that may fail to each quarantined endpoint that is due for a probe.
    fn probe(&mut self, now: Millis, out: &mut Vec<Decision>) {
        for name in self.health.probes(now) {
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
                if single && self.order.within_quota(job) && endpoint.members(&job.shape, endpoint.free()) > 0 {
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
            self.health.probed(now, &name, &job.id);
            self.place(now, &job.id, vec![seat], false, out);
        }
    }
}
