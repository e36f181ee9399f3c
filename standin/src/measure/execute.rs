//! Checks and executes a policy's decisions in a replay.

use yuccaridge::job::{Seat, Shape};
use yuccaridge::plan::{Decision, Event, StopReason};
use yuccaridge::time::Millis;

use super::claim;
use super::replay::{CLAIM_TIME_MAX, Replay, ReplayEvent};
use super::replay_job::{ClaimState, Stage};
use super::stats::ReplayStats;
use super::violation::Violation;

impl Replay<'_> {
    pub(super) fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Place { job, seats, guaranteed } => match self.job_index.get(&job) {
                Some(&i) if self.jobs[i].stage == Stage::Waiting => self.place(i, seats, guaranteed),
                _ => self.record_violation(Violation::Unfounded),
            },
            Decision::Stop { job, reason } => match self.job_index.get(&job) {
                Some(&i) if matches!(self.jobs[i].stage, Stage::Placed | Stage::Running) => self.stop(i, &reason),
                _ => self.record_violation(Violation::Unfounded),
            },
            Decision::Reject { job, .. } => match self.job_index.get(&job) {
                Some(&i) if self.jobs[i].stage == Stage::Waiting => {
                    if !self.trace.arrivals[i].faulty {
                        self.record_violation(Violation::Rejected);
                    }
                    self.close_job(i);
                }
                _ => self.record_violation(Violation::Unfounded),
            },
            Decision::Quarantine { endpoint, .. } => {
                self.quarantined.insert(endpoint);
            }
            Decision::Reinstate { endpoint } => {
                self.quarantined.remove(&endpoint);
            }
        }
    }

    /// Records the violation of a placement that breaks a rule, and closes the job so that the replay can end.
    fn reject_placement(&mut self, i: usize, violation: Violation) {
        self.record_violation(violation);
        let job = self.job(i).id.clone();
        self.notify_policy(Event::Unplaced {
            job: job.clone(),
            endpoint: None,
        });
        self.notify_policy(Event::Withdrawn(job));
        self.close_job(i);
    }

    fn place(&mut self, i: usize, seats: Vec<Seat>, guaranteed: bool) {
        let shape = self.job(i).shape;
        let team = self.job(i).team.clone();
        let used = self.used_accelerators.get(&team).copied().unwrap_or(0) + shape.total_accelerators();
        if used > self.trace.teams[&team].quota {
            self.reject_placement(i, Violation::QuotaBroken);
            return;
        }
        if let Err(violation) = self.capacity.allocate(&shape, &seats) {
            self.reject_placement(i, violation);
            return;
        }
        self.used_accelerators.insert(team, used);
        let replay_job = &mut self.jobs[i];
        replay_job.seats = seats;
        replay_job.guaranteed = guaranteed;
        replay_job.stage = Stage::Placed;
        let attempt = replay_job.attempt;
        let at = self.now + self.delays.start(i, attempt);
        self.events.insert((at, ReplayEvent::Start(i, attempt)));
        if guaranteed && claim::exceeds_guarantee(&self.trace.teams, self, i) {
            self.record_violation(Violation::GuaranteeExceeded);
        }
    }

    fn stop(&mut self, i: usize, reason: &StopReason) {
        let evacuates = *reason == StopReason::Evict
            && self.jobs[i]
                .seats
                .iter()
                .any(|seat| self.quarantined.contains(&seat.endpoint));
        if self.jobs[i].guaranteed && !evacuates {
            self.record_violation(Violation::GuaranteedStopped);
        }
        self.stats.stops += 1;
        self.begin_stop(i);
    }

    /// Marks the claims that the decisions at the time of the claim did not meet.
    pub(super) fn mark_unmet_claims(&mut self) {
        for replay_job in &mut self.jobs {
            if replay_job.stage == Stage::Waiting && replay_job.claim == ClaimState::Open {
                replay_job.claim = ClaimState::Unmet;
            }
        }
    }

    /// Share of the free accelerators that the largest waiting shape cannot use; 0 if no job waits or nothing is free.
    pub(super) fn compute_unusable_share(&self) -> f64 {
        let mut largest: Option<Shape> = None;
        for (i, replay_job) in self.jobs.iter().enumerate() {
            if replay_job.stage != Stage::Waiting {
                continue;
            }
            let shape = self.job(i).shape;
            if largest.is_none_or(|l| shape.total_accelerators() > l.total_accelerators()) {
                largest = Some(shape);
            }
        }
        let free = self.capacity.free_accelerators();
        match largest {
            Some(shape) if free > 0 => 1.0 - f64::from(self.capacity.usable_accelerators(&shape)) / f64::from(free),
            _ => 0.0,
        }
    }

    /// Records the jobs that have not ended, and returns the statistics.
    pub(super) fn finish(mut self) -> ReplayStats {
        for i in 0..self.jobs.len() {
            if self.jobs[i].stage == Stage::Ended {
                continue;
            }
            self.record_violation(Violation::Unfinished);
            let age = self.now.since(self.job(i).accepted_at);
            self.stats.completion_times.push(age);
            if self.job(i).shape.total_accelerators() >= self.trace.large_job_accelerators {
                self.stats.large_job_waits.push(self.jobs[i].time_not_running.max(age));
            }
            if self.jobs[i].claim != ClaimState::None && self.now.since(self.jobs[i].stage_start) > CLAIM_TIME_MAX {
                self.record_violation(Violation::ClaimLate);
                self.stats.reclaim_times.push(age);
            }
        }
        self.stats.end = self.now.max(Millis(1));
        self.stats
    }
}
