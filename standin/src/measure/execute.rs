//! Carries out a policy's decisions in a replay, after checking them.

use yuccaridge::job::{Seat, Shape};
use yuccaridge::plan::{Decision, Event, StopReason};
use yuccaridge::time::Millis;

use super::claim;
use super::replay::{CLAIM_MAX, Happening, Replay};
use super::replay_job::{Claim, Stage};
use super::stats::Run;
use super::violation::Violation;

impl Replay<'_> {
    pub(super) fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Place { job, seats, guaranteed } => match self.index.get(&job) {
                Some(&i) if self.jobs[i].stage == Stage::Waiting => self.place(i, seats, guaranteed),
                _ => self.count(Violation::Unfounded),
            },
            Decision::Stop { job, reason } => match self.index.get(&job) {
                Some(&i) if matches!(self.jobs[i].stage, Stage::Placed | Stage::Running) => self.stop(i, &reason),
                _ => self.count(Violation::Unfounded),
            },
            Decision::Reject { job, .. } => match self.index.get(&job) {
                Some(&i) if self.jobs[i].stage == Stage::Waiting => {
                    if !self.trace.arrivals[i].faulty {
                        self.count(Violation::Rejected);
                    }
                    self.close(i);
                }
                _ => self.count(Violation::Unfounded),
            },
            Decision::Quarantine { endpoint, .. } => {
                self.quarantined.insert(endpoint);
            }
            Decision::Reinstate { endpoint } => {
                self.quarantined.remove(&endpoint);
            }
        }
    }

    /// A placement that breaks a rule is counted, and its job is closed so that the replay ends.
    fn refuse(&mut self, i: usize, violation: Violation) {
        self.count(violation);
        let job = self.job(i).id.clone();
        self.tell(Event::Unplaced {
            job: job.clone(),
            endpoint: None,
        });
        self.tell(Event::Withdrawn(job));
        self.close(i);
    }

    fn place(&mut self, i: usize, seats: Vec<Seat>, guaranteed: bool) {
        let shape = self.job(i).shape;
        let team = self.job(i).team.clone();
        let used = self.used.get(&team).copied().unwrap_or(0) + shape.total_accelerators();
        if used > self.trace.teams[&team].quota {
            self.refuse(i, Violation::QuotaBroken);
            return;
        }
        if let Err(violation) = self.ledger.take(&shape, &seats) {
            self.refuse(i, violation);
            return;
        }
        self.used.insert(team, used);
        let progress = &mut self.jobs[i];
        progress.seats = seats;
        progress.guaranteed = guaranteed;
        progress.stage = Stage::Placed;
        let attempt = progress.attempt;
        let at = self.now + self.delays.start(i, attempt);
        self.agenda.insert((at, Happening::Start(i, attempt)));
        if guaranteed && claim::exceeds(&self.trace.teams, self, i) {
            self.count(Violation::GuaranteeExceeded);
        }
    }

    fn stop(&mut self, i: usize, reason: &StopReason) {
        let moving = *reason == StopReason::Evict
            && self.jobs[i]
                .seats
                .iter()
                .any(|seat| self.quarantined.contains(&seat.endpoint));
        if self.jobs[i].guaranteed && !moving {
            self.count(Violation::GuaranteedStopped);
        }
        self.run.stops += 1;
        self.begin_stop(i);
    }

    /// Notes the claims that were not met by the decisions of the moment at which they came.
    pub(super) fn mark_blocked(&mut self) {
        for progress in &mut self.jobs {
            if progress.stage == Stage::Waiting && progress.claim == Claim::Open {
                progress.claim = Claim::Blocked;
            }
        }
    }

    /// Share of the free accelerators that the largest waiting shape cannot use; 0 if nothing waits or is free.
    pub(super) fn unusable_share(&self) -> f64 {
        let mut largest: Option<Shape> = None;
        for (i, progress) in self.jobs.iter().enumerate() {
            if progress.stage != Stage::Waiting {
                continue;
            }
            let shape = self.job(i).shape;
            if largest.is_none_or(|l| shape.total_accelerators() > l.total_accelerators()) {
                largest = Some(shape);
            }
        }
        let free = self.ledger.free();
        match largest {
            Some(shape) if free > 0 => 1.0 - f64::from(self.ledger.usable(&shape)) / f64::from(free),
            _ => 0.0,
        }
    }

    /// Judges what is left over and hands the figures out.
    pub(super) fn finish(mut self) -> Run {
        for i in 0..self.jobs.len() {
            if self.jobs[i].stage == Stage::Over {
                continue;
            }
            self.count(Violation::Unfinished);
            let age = self.now.since(self.job(i).accepted_at);
            self.run.completions.push(age);
            if self.job(i).shape.total_accelerators() >= self.trace.large {
                self.run.waits.push(self.jobs[i].waited.max(age));
            }
            if self.jobs[i].claim != Claim::None && self.now.since(self.jobs[i].since) > CLAIM_MAX {
                self.count(Violation::ClaimLate);
                self.run.reclaims.push(age);
            }
        }
        self.run.end = self.now.max(Millis(1));
        self.run
    }
}
