//! Replays a trace against a policy in virtual time.
//!
//! At each time with events, the loop processes all of them, passes them to the policy, asks it once for decisions and
//! executes these. The replay has its own record of free resources to check the decisions and measure fragmentation.

use std::collections::{BTreeMap, BTreeSet};

use yuccaridge::name::{EndpointName, JobId, TeamName};
use yuccaridge::plan::{EndKind, Event, Policy, QueuedJob};
use yuccaridge::time::Millis;

use super::claim;
use super::delay::Delays;
use super::fleet_capacity::FleetCapacity;
use super::replay_job::{ClaimState, ReplayJob, Stage};
use super::stats::ReplayStats;
use super::trace::Trace;
use super::violation::Violation;

/// Time from the loss of an endpoint until its task leases have lapsed.
const LEASE_LAPSE: Millis = Millis::from_secs(33);
/// Limit of the time from queueing to running for a claim.
pub const CLAIM_TIME_MAX: Millis = Millis(2_600);
/// Claims within this time after the loss of an endpoint are not checked: the guarantee itself is at risk.
const AT_RISK_TIME: Millis = Millis::from_secs(60);
/// Attempts after which a job that fails on all endpoints is not requeued.
const ATTEMPTS_MAX: u32 = 12;
/// Maximum duration of a replay, in multiples of the trace's window.
const REPLAY_WINDOWS_MAX: u64 = 6;

/// A scheduled event of a replay, with the index of its job or outage and the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReplayEvent {
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

/// State of a replay.
#[derive(Debug)]
pub struct Replay<'a> {
    pub(super) trace: &'a Trace,
    policy: &'a mut dyn Policy,
    pub(super) delays: Delays,
    pub(super) now: Millis,
    pub(super) events: BTreeSet<(Millis, ReplayEvent)>,
    pub(super) jobs: Vec<ReplayJob>,
    pub(super) job_index: BTreeMap<JobId, usize>,
    pub(super) capacity: FleetCapacity,
    pub(super) used_accelerators: BTreeMap<TeamName, u32>,
    pub(super) quarantined: BTreeSet<EndpointName>,
    open_jobs: usize,
    unusable_share: f64,
    pub(super) stats: ReplayStats,
}

/// Replays a trace against a policy; the delays depend on the seed.
pub fn replay(trace: &Trace, policy: &mut dyn Policy, seed: u64) -> ReplayStats {
    let mut replay = Replay {
        trace,
        policy,
        delays: Delays(seed),
        now: Millis::ZERO,
        events: BTreeSet::new(),
        jobs: trace.arrivals.iter().map(|a| ReplayJob::new(a.work)).collect(),
        job_index: BTreeMap::new(),
        capacity: FleetCapacity::default(),
        used_accelerators: BTreeMap::new(),
        quarantined: BTreeSet::new(),
        open_jobs: trace.arrivals.len(),
        unusable_share: 0.0,
        stats: ReplayStats {
            min_completion_times: trace.min_completion_times(),
            ..ReplayStats::default()
        },
    };
    replay.load_trace();
    replay.process_events();
    replay.finish()
}

impl Replay<'_> {
    fn load_trace(&mut self) {
        self.policy.apply(self.now, Event::Teams(self.trace.teams.clone()));
        for trace_endpoint in &self.trace.fleet {
            self.capacity.add(trace_endpoint.spec.clone());
            self.policy
                .apply(self.now, Event::EndpointUp(trace_endpoint.spec.clone()));
        }
        for (i, arrival) in self.trace.arrivals.iter().enumerate() {
            self.job_index.insert(arrival.job.id.clone(), i);
            self.events.insert((arrival.job.accepted_at, ReplayEvent::Arrive(i)));
            if let Some(at) = arrival.cancel {
                self.events.insert((at, ReplayEvent::Cancel(i)));
            }
        }
        for (i, outage) in self.trace.outages.iter().enumerate() {
            self.events.insert((outage.start, ReplayEvent::Down(i)));
            self.events.insert((outage.end, ReplayEvent::Up(i)));
        }
    }

    fn process_events(&mut self) {
        let limit = Millis(self.trace.window.0 * REPLAY_WINDOWS_MAX);
        while self.open_jobs > 0 {
            let Some((at, _)) = self.events.first() else {
                break;
            };
            let at = *at;
            if at > limit {
                break;
            }
            let elapsed = at.min(self.trace.window).since(self.now);
            self.stats.fragmentation += self.unusable_share * elapsed.0 as f64 / self.trace.window.0 as f64;
            self.now = at;
            while self.events.first().is_some_and(|(next, _)| *next == at) {
                if let Some((_, event)) = self.events.pop_first() {
                    self.process(event);
                }
            }
            let decisions = self.policy.decide(at);
            for decision in decisions {
                self.execute(decision);
            }
            self.mark_unmet_claims();
            self.unusable_share = self.compute_unusable_share();
            self.schedule_wake();
        }
    }

    fn schedule_wake(&mut self) {
        let Some(wake) = self.policy.wake_at() else {
            return;
        };
        // Virtual time must advance even if the wake time is in the past.
        let wake = wake.max(self.now + Millis(1));
        if self.events.first().is_none_or(|(next, _)| wake < *next) {
            self.events.insert((wake, ReplayEvent::Wake));
        }
    }

    pub(super) fn job(&self, i: usize) -> &QueuedJob {
        &self.trace.arrivals[i].job
    }

    pub(super) fn notify_policy(&mut self, event: Event) {
        self.policy.apply(self.now, event);
    }

    fn is_in_stage(&self, i: usize, attempt: u32, stage: Stage) -> bool {
        self.jobs[i].attempt == attempt && self.jobs[i].stage == stage
    }

    /// Whether the attempt runs; a job that is being stopped can still finish.
    fn is_running(&self, i: usize, attempt: u32) -> bool {
        self.is_in_stage(i, attempt, Stage::Running) || self.is_in_stage(i, attempt, Stage::Stopping)
    }

    fn process(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(i) => self.enqueue(i),
            ReplayEvent::Cancel(i) => self.cancel_job(i),
            ReplayEvent::Start(i, attempt) if self.is_in_stage(i, attempt, Stage::Placed) => self.start_job(i),
            ReplayEvent::Finish(i, attempt) if self.is_running(i, attempt) => self.complete_job(i),
            ReplayEvent::Fail(i, attempt) if self.is_in_stage(i, attempt, Stage::Running) => self.fail_job(i),
            ReplayEvent::Stop(i, attempt) if self.is_in_stage(i, attempt, Stage::Stopping) => self.finish_stop(i),
            ReplayEvent::Lapse(i, attempt) if self.is_in_stage(i, attempt, Stage::Lost) => {
                let endpoint = self.jobs[i].lost_endpoint.take();
                self.end_attempt(i, EndKind::Lost, endpoint);
                self.requeue(i);
            }
            ReplayEvent::Down(i) => self.begin_outage(i),
            ReplayEvent::Up(i) => self.end_outage(i),
            _ => {}
        }
    }

    fn enqueue(&mut self, i: usize) {
        let mut job = self.job(i).clone();
        job.attempt = self.jobs[i].attempt;
        let claim = job.urgent && claim::is_within_guarantee(&self.trace.teams, self, i) && !self.is_at_risk();
        let replay_job = &mut self.jobs[i];
        replay_job.claim = if claim { ClaimState::Open } else { ClaimState::None };
        replay_job.stage = Stage::Waiting;
        replay_job.stage_start = self.now;
        self.notify_policy(Event::Queued(job));
    }

    /// Whether the time is close to an outage, in which a claim may be late.
    fn is_at_risk(&self) -> bool {
        for outage in &self.trace.outages {
            let from = outage.start.since(CLAIM_TIME_MAX);
            if self.now >= from && self.now <= outage.start + AT_RISK_TIME {
                return true;
            }
        }
        false
    }

    fn requeue(&mut self, i: usize) {
        let can_rerun = self.job(i).idempotent || self.job(i).checkpoints;
        let given_up = self.trace.arrivals[i].faulty && self.jobs[i].attempt >= ATTEMPTS_MAX;
        if self.jobs[i].cancelled || !can_rerun || given_up {
            self.close_job(i);
            return;
        }
        self.jobs[i].attempt += 1;
        self.enqueue(i);
    }

    pub(super) fn close_job(&mut self, i: usize) {
        self.judge_claim(i);
        self.jobs[i].stage = Stage::Ended;
        self.open_jobs -= 1;
    }

    /// Checks the time of a claim when the wait of its job ends for any reason.
    fn judge_claim(&mut self, i: usize) {
        let claim = std::mem::replace(&mut self.jobs[i].claim, ClaimState::None);
        if claim == ClaimState::None {
            return;
        }
        let taken = self.now.since(self.jobs[i].stage_start);
        if claim == ClaimState::Unmet {
            self.stats.reclaim_times.push(taken);
        }
        if taken > CLAIM_TIME_MAX {
            self.record_violation(Violation::ClaimLate);
        }
    }

    pub(super) fn record_violation(&mut self, violation: Violation) {
        *self.stats.violations.entry(violation).or_default() += 1;
    }

    fn cancel_job(&mut self, i: usize) {
        self.jobs[i].cancelled = true;
        match self.jobs[i].stage {
            Stage::Waiting => {
                self.notify_policy(Event::Withdrawn(self.job(i).id.clone()));
                self.jobs[i].claim = ClaimState::None;
                self.close_job(i);
            }
            Stage::Placed | Stage::Running => self.begin_stop(i),
            _ => {}
        }
    }

    fn start_job(&mut self, i: usize) {
        self.judge_claim(i);
        let mut speed = f64::INFINITY;
        let mut faulty = self.trace.arrivals[i].faulty;
        for trace_endpoint in &self.trace.fleet {
            if self.jobs[i]
                .seats
                .iter()
                .any(|seat| seat.endpoint == trace_endpoint.spec.name)
            {
                speed = speed.min(trace_endpoint.speed);
                faulty |= trace_endpoint.faulty;
            }
        }
        let replay_job = &mut self.jobs[i];
        replay_job.time_not_running = replay_job.time_not_running + self.now.since(replay_job.stage_start);
        replay_job.stage = Stage::Running;
        replay_job.stage_start = self.now;
        replay_job.speed = speed;
        let attempt = replay_job.attempt;
        let end = self.now + Millis((replay_job.remaining_work_ms / speed).ceil() as u64);
        if faulty {
            let at = self.now + self.delays.failure(i, attempt);
            self.events.insert((at, ReplayEvent::Fail(i, attempt)));
        } else {
            self.events.insert((end, ReplayEvent::Finish(i, attempt)));
        }
        let job = self.job(i).id.clone();
        self.notify_policy(Event::Started { job });
    }

    fn end_attempt(&mut self, i: usize, kind: EndKind, endpoint: Option<EndpointName>) {
        let shape = self.job(i).shape;
        let seats = std::mem::take(&mut self.jobs[i].seats);
        self.capacity.release(&shape, &seats);
        if let Some(used) = self.used_accelerators.get_mut(&self.job(i).team.clone()) {
            *used -= shape.total_accelerators();
        }
        let job = self.job(i).id.clone();
        self.notify_policy(Event::Ended { job, kind, endpoint });
    }

    fn complete_job(&mut self, i: usize) {
        self.end_attempt(i, EndKind::Completed, None);
        self.stats
            .completion_times
            .push(self.now.since(self.job(i).accepted_at));
        if self.job(i).shape.total_accelerators() >= self.trace.large_job_accelerators {
            self.stats.large_job_waits.push(self.jobs[i].time_not_running);
        }
        self.close_job(i);
    }

    fn fail_job(&mut self, i: usize) {
        let mut endpoint = None;
        for seat in &self.jobs[i].seats {
            let faulty = |m: &&super::trace::TraceEndpoint| m.faulty && m.spec.name == seat.endpoint;
            if endpoint.is_none() || self.trace.fleet.iter().any(|m| faulty(&m)) {
                endpoint = Some(seat.endpoint.clone());
            }
        }
        self.end_attempt(i, EndKind::Failed, endpoint);
        self.requeue(i);
    }

    pub(super) fn begin_stop(&mut self, i: usize) {
        let ran = self.jobs[i].stage == Stage::Running;
        let checkpoints = ran && self.job(i).checkpoints;
        let replay_job = &mut self.jobs[i];
        if !ran {
            replay_job.speed = 0.0;
            replay_job.time_not_running = replay_job.time_not_running + self.now.since(replay_job.stage_start);
        }
        replay_job.claim = ClaimState::None;
        replay_job.stage = Stage::Stopping;
        let attempt = replay_job.attempt;
        let at = self.now + self.delays.stop(i, attempt, checkpoints);
        self.events.insert((at, ReplayEvent::Stop(i, attempt)));
    }

    fn finish_stop(&mut self, i: usize) {
        if self.job(i).checkpoints {
            let now = self.now;
            self.jobs[i].save_progress(now);
        }
        let kind = if self.jobs[i].cancelled {
            EndKind::Cancelled
        } else {
            EndKind::Stopped
        };
        self.end_attempt(i, kind, None);
        self.requeue(i);
    }

    fn begin_outage(&mut self, outage: usize) {
        let endpoints = &self.trace.outages[outage].endpoints;
        for endpoint in endpoints {
            self.capacity.close(endpoint);
            self.notify_policy(Event::EndpointDown(endpoint.clone()));
        }
        for i in 0..self.jobs.len() {
            let lost = self.jobs[i]
                .seats
                .iter()
                .find(|seat| endpoints.contains(&seat.endpoint));
            let Some(endpoint) = lost.map(|seat| seat.endpoint.clone()) else {
                continue;
            };
            let replay_job = &mut self.jobs[i];
            if replay_job.stage == Stage::Placed {
                replay_job.time_not_running = replay_job.time_not_running + self.now.since(replay_job.stage_start);
            }
            replay_job.claim = ClaimState::None;
            replay_job.lost_endpoint = Some(endpoint);
            replay_job.stage = Stage::Lost;
            let attempt = replay_job.attempt;
            self.events
                .insert((self.now + LEASE_LAPSE, ReplayEvent::Lapse(i, attempt)));
        }
    }

    fn end_outage(&mut self, outage: usize) {
        for trace_endpoint in &self.trace.fleet {
            if self.trace.outages[outage].endpoints.contains(&trace_endpoint.spec.name) {
                self.capacity.add(trace_endpoint.spec.clone());
                self.notify_policy(Event::EndpointUp(trace_endpoint.spec.clone()));
            }
        }
    }
}
