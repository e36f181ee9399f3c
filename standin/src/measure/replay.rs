//! Feeds a trace to a policy in virtual time.
//!
//! The loop pops everything that happens at one moment, tells the policy, asks it once for decisions and carries them
//! out. It keeps its own ledger of seats, from which it checks the decisions and measures fragmentation.

use std::collections::{BTreeMap, BTreeSet};

use yuccaridge::name::{EndpointName, JobId, TeamName};
use yuccaridge::plan::{EndKind, Event, Policy, QueuedJob};
use yuccaridge::time::Millis;

use super::claim;
use super::delay::Delays;
use super::fleet_capacity::Ledger;
use super::replay_job::{Claim, Progress, Stage};
use super::stats::Run;
use super::trace::Trace;
use super::violation::Violation;

/// Time from the loss of an endpoint until its task leases have lapsed.
const LAPSE: Millis = Millis::from_secs(33);
/// Bound of a claim, from queueing to running.
pub const CLAIM_MAX: Millis = Millis(2_600);
/// Claims this close to the loss of an endpoint are not judged: the guarantee itself is at risk.
const AT_RISK: Millis = Millis::from_secs(60);
/// Attempts after which a job that fails everywhere is given up.
const ATTEMPTS_MAX: u32 = 12;
/// Multiple of the window after which a replay is broken off.
const WINDOWS_MAX: u64 = 6;

/// Something that happens to the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Happening {
    Arrive(usize),
    Cancel(usize),
    Start(usize, u32),
    Finish(usize, u32),
    Fail(usize, u32),
    Stop(usize, u32),
    Lapse(usize, u32),
    Down(usize),
    Up(usize),
    Wake,
}

/// One replay under way.
#[derive(Debug)]
pub struct Replay<'a> {
    pub(super) trace: &'a Trace,
    policy: &'a mut dyn Policy,
    pub(super) delays: Delays,
    pub(super) now: Millis,
    pub(super) agenda: BTreeSet<(Millis, Happening)>,
    pub(super) jobs: Vec<Progress>,
    pub(super) index: BTreeMap<JobId, usize>,
    pub(super) ledger: Ledger,
    pub(super) used: BTreeMap<TeamName, u32>,
    pub(super) quarantined: BTreeSet<EndpointName>,
    open: usize,
    unusable: f64,
    pub(super) run: Run,
}

/// Feeds a trace to a policy; the seed fixes the delays.
pub fn replay(trace: &Trace, policy: &mut dyn Policy, seed: u64) -> Run {
    let mut replay = Replay {
        trace,
        policy,
        delays: Delays(seed),
        now: Millis::ZERO,
        agenda: BTreeSet::new(),
        jobs: trace.arrivals.iter().map(|a| Progress::new(a.work)).collect(),
        index: BTreeMap::new(),
        ledger: Ledger::default(),
        used: BTreeMap::new(),
        quarantined: BTreeSet::new(),
        open: trace.arrivals.len(),
        unusable: 0.0,
        run: Run {
            floor: trace.floor(),
            ..Run::default()
        },
    };
    replay.prepare();
    replay.drive();
    replay.finish()
}

impl Replay<'_> {
    fn prepare(&mut self) {
        self.policy.apply(self.now, Event::Teams(self.trace.teams.clone()));
        for machine in &self.trace.machines {
            self.ledger.add(machine.spec.clone());
            self.policy.apply(self.now, Event::EndpointUp(machine.spec.clone()));
        }
        for (i, arrival) in self.trace.arrivals.iter().enumerate() {
            self.index.insert(arrival.job.id.clone(), i);
            self.agenda.insert((arrival.job.accepted_at, Happening::Arrive(i)));
            if let Some(at) = arrival.cancel {
                self.agenda.insert((at, Happening::Cancel(i)));
            }
        }
        for (i, outage) in self.trace.outages.iter().enumerate() {
            self.agenda.insert((outage.start, Happening::Down(i)));
            self.agenda.insert((outage.end, Happening::Up(i)));
        }
    }

    fn drive(&mut self) {
        let limit = Millis(self.trace.window.0 * WINDOWS_MAX);
        while self.open > 0 {
            let Some((at, _)) = self.agenda.first() else {
                break;
            };
            let at = *at;
            if at > limit {
                break;
            }
            let span = at.min(self.trace.window).since(self.now);
            self.run.fragmentation += self.unusable * span.0 as f64 / self.trace.window.0 as f64;
            self.now = at;
            while self.agenda.first().is_some_and(|(next, _)| *next == at) {
                if let Some((_, happening)) = self.agenda.pop_first() {
                    self.happen(happening);
                }
            }
            let decisions = self.policy.decide(at);
            for decision in decisions {
                self.carry_out(decision);
            }
            self.mark_blocked();
            self.unusable = self.unusable_share();
            self.schedule_wake();
        }
    }

    fn schedule_wake(&mut self) {
        let Some(wake) = self.policy.wake_at() else {
            return;
        };
        // A wake in the past must not stop virtual time.
        let wake = wake.max(self.now + Millis(1));
        if self.agenda.first().is_none_or(|(next, _)| wake < *next) {
            self.agenda.insert((wake, Happening::Wake));
        }
    }

    pub(super) fn job(&self, i: usize) -> &QueuedJob {
        &self.trace.arrivals[i].job
    }

    pub(super) fn tell(&mut self, event: Event) {
        self.policy.apply(self.now, event);
    }

    fn is_at(&self, i: usize, attempt: u32, stage: Stage) -> bool {
        self.jobs[i].attempt == attempt && self.jobs[i].stage == stage
    }

    /// A job that is being stopped may still finish before it stops.
    fn is_running(&self, i: usize, attempt: u32) -> bool {
        self.is_at(i, attempt, Stage::Running) || self.is_at(i, attempt, Stage::Stopping)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(i) => self.queue(i),
            Happening::Cancel(i) => self.cancel(i),
            Happening::Start(i, attempt) if self.is_at(i, attempt, Stage::Placed) => self.start(i),
            Happening::Finish(i, attempt) if self.is_running(i, attempt) => self.complete(i),
            Happening::Fail(i, attempt) if self.is_at(i, attempt, Stage::Running) => self.fail(i),
            Happening::Stop(i, attempt) if self.is_at(i, attempt, Stage::Stopping) => self.stopped(i),
            Happening::Lapse(i, attempt) if self.is_at(i, attempt, Stage::Lost) => {
                let endpoint = self.jobs[i].lost.take();
                self.end(i, EndKind::Lost, endpoint);
                self.requeue(i);
            }
            Happening::Down(i) => self.lose(i),
            Happening::Up(i) => self.restore(i),
            _ => {}
        }
    }

    fn queue(&mut self, i: usize) {
        let mut job = self.job(i).clone();
        job.attempt = self.jobs[i].attempt;
        let claim = job.urgent && claim::is_entitled(&self.trace.teams, self, i) && !self.is_at_risk();
        let progress = &mut self.jobs[i];
        progress.claim = if claim { Claim::Open } else { Claim::None };
        progress.stage = Stage::Waiting;
        progress.since = self.now;
        self.tell(Event::Queued(job));
    }

    fn is_at_risk(&self) -> bool {
        for outage in &self.trace.outages {
            let from = outage.start.since(CLAIM_MAX);
            if self.now >= from && self.now <= outage.start + AT_RISK {
                return true;
            }
        }
        false
    }

    fn requeue(&mut self, i: usize) {
        let repeatable = self.job(i).idempotent || self.job(i).checkpoints;
        let hopeless = self.trace.arrivals[i].faulty && self.jobs[i].attempt >= ATTEMPTS_MAX;
        if self.jobs[i].cancelled || !repeatable || hopeless {
            self.close(i);
            return;
        }
        self.jobs[i].attempt += 1;
        self.queue(i);
    }

    pub(super) fn close(&mut self, i: usize) {
        self.judge_claim(i);
        self.jobs[i].stage = Stage::Over;
        self.open -= 1;
    }

    /// Judges a claim whose wait is over, in whatever way.
    fn judge_claim(&mut self, i: usize) {
        let claim = std::mem::replace(&mut self.jobs[i].claim, Claim::None);
        if claim == Claim::None {
            return;
        }
        let taken = self.now.since(self.jobs[i].since);
        if claim == Claim::Blocked {
            self.run.reclaims.push(taken);
        }
        if taken > CLAIM_MAX {
            self.count(Violation::ClaimLate);
        }
    }

    pub(super) fn count(&mut self, violation: Violation) {
        *self.run.violations.entry(violation).or_default() += 1;
    }

    fn cancel(&mut self, i: usize) {
        self.jobs[i].cancelled = true;
        match self.jobs[i].stage {
            Stage::Waiting => {
                self.tell(Event::Withdrawn(self.job(i).id.clone()));
                self.jobs[i].claim = Claim::None;
                self.close(i);
            }
            Stage::Placed | Stage::Running => self.begin_stop(i),
            _ => {}
        }
    }

    fn start(&mut self, i: usize) {
        self.judge_claim(i);
        let mut rate = f64::INFINITY;
        let mut faulty = self.trace.arrivals[i].faulty;
        for machine in &self.trace.machines {
            if self.jobs[i].seats.iter().any(|seat| seat.endpoint == machine.spec.name) {
                rate = rate.min(machine.speed);
                faulty |= machine.faulty;
            }
        }
        let progress = &mut self.jobs[i];
        progress.waited = progress.waited + self.now.since(progress.since);
        progress.stage = Stage::Running;
        progress.since = self.now;
        progress.rate = rate;
        let attempt = progress.attempt;
        let end = self.now + Millis((progress.left / rate).ceil() as u64);
        if faulty {
            let at = self.now + self.delays.failure(i, attempt);
            self.agenda.insert((at, Happening::Fail(i, attempt)));
        } else {
            self.agenda.insert((end, Happening::Finish(i, attempt)));
        }
        let job = self.job(i).id.clone();
        self.tell(Event::Started { job });
    }

    fn end(&mut self, i: usize, kind: EndKind, endpoint: Option<EndpointName>) {
        let shape = self.job(i).shape;
        let seats = std::mem::take(&mut self.jobs[i].seats);
        self.ledger.give(&shape, &seats);
        if let Some(used) = self.used.get_mut(&self.job(i).team.clone()) {
            *used -= shape.total_accelerators();
        }
        let job = self.job(i).id.clone();
        self.tell(Event::Ended { job, kind, endpoint });
    }

    fn complete(&mut self, i: usize) {
        self.end(i, EndKind::Completed, None);
        self.run.completions.push(self.now.since(self.job(i).accepted_at));
        if self.job(i).shape.total_accelerators() >= self.trace.large {
            self.run.waits.push(self.jobs[i].waited);
        }
        self.close(i);
    }

    fn fail(&mut self, i: usize) {
        let mut endpoint = None;
        for seat in &self.jobs[i].seats {
            let faulty = |m: &&super::trace::Machine| m.faulty && m.spec.name == seat.endpoint;
            if endpoint.is_none() || self.trace.machines.iter().any(|m| faulty(&m)) {
                endpoint = Some(seat.endpoint.clone());
            }
        }
        self.end(i, EndKind::Failed, endpoint);
        self.requeue(i);
    }

    pub(super) fn begin_stop(&mut self, i: usize) {
        let ran = self.jobs[i].stage == Stage::Running;
        let checkpoints = ran && self.job(i).checkpoints;
        let progress = &mut self.jobs[i];
        if !ran {
            progress.rate = 0.0;
            progress.waited = progress.waited + self.now.since(progress.since);
        }
        progress.claim = Claim::None;
        progress.stage = Stage::Stopping;
        let attempt = progress.attempt;
        let at = self.now + self.delays.stop(i, attempt, checkpoints);
        self.agenda.insert((at, Happening::Stop(i, attempt)));
    }

    fn stopped(&mut self, i: usize) {
        if self.job(i).checkpoints {
            let now = self.now;
            self.jobs[i].save(now);
        }
        let kind = if self.jobs[i].cancelled {
            EndKind::Cancelled
        } else {
            EndKind::Stopped
        };
        self.end(i, kind, None);
        self.requeue(i);
    }

    fn lose(&mut self, outage: usize) {
        let endpoints = &self.trace.outages[outage].endpoints;
        for endpoint in endpoints {
            self.ledger.close(endpoint);
            self.tell(Event::EndpointDown(endpoint.clone()));
        }
        for i in 0..self.jobs.len() {
            let lost = self.jobs[i]
                .seats
                .iter()
                .find(|seat| endpoints.contains(&seat.endpoint));
            let Some(endpoint) = lost.map(|seat| seat.endpoint.clone()) else {
                continue;
            };
            let progress = &mut self.jobs[i];
            if progress.stage == Stage::Placed {
                progress.waited = progress.waited + self.now.since(progress.since);
            }
            progress.claim = Claim::None;
            progress.lost = Some(endpoint);
            progress.stage = Stage::Lost;
            let attempt = progress.attempt;
            self.agenda.insert((self.now + LAPSE, Happening::Lapse(i, attempt)));
        }
    }

    fn restore(&mut self, outage: usize) {
        for machine in &self.trace.machines {
            if self.trace.outages[outage].endpoints.contains(&machine.spec.name) {
                self.ledger.add(machine.spec.clone());
                self.tell(Event::EndpointUp(machine.spec.clone()));
            }
        }
    }
}
