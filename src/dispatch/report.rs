//! Processing of reports from endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::round::remaining_ms;
use super::{Dispatcher, Effect, Member, MemberState, Stop, UnitState};
use crate::graph::Phase;
use crate::port::{OrderError, Outcome, Report, RunEnd, RunningTask};

/// Least progress over which a speed is measured, in percent; reports contain whole percents.
const MEASURE_PERCENT_MIN: f64 = 10.0;

/// Most unexpected runs of one report that are stopped; those left over are in the next report.
const UNEXPECTED_STOPS_MAX: usize = 100;

impl Dispatcher {
    /// Notes that a hold failed or has no answer.
    pub fn hold_failed(&mut self, name: &Arc<str>, error: &OrderError, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        endpoint.hold_ended(!matches!(error, OrderError::NotSent(_)));
        let was_silent = endpoint.is_silent();
        endpoint.hold_missed(&self.tuning, &mut self.probe_slots, now);
        if endpoint.is_silent() && !was_silent {
            log::warn!(endpoint:% = name, runs = endpoint.runs.len(), error:% = error; "endpoint has not answered two holds in a row");
        }
    }

    /// Applies the report of an endpoint, the answer to a hold that was sent at `sent_at` with `seen`.
    pub fn report(&mut self, name: &Arc<str>, report: &Report, seen: u64, sent_at: u64, now: u64) {
        let Some(endpoint) = self.endpoints.get(name) else {
            return;
        };
        let born = report.born.unwrap_or(endpoint.entry.born);
        if born > endpoint.entry.born {
            let mut entry = endpoint.entry.clone();
            entry.born = born;
            self.replace_incarnation(name, entry, now);
            return;
        }
        // Only an answer of the present incarnation to an order with its token shows that earlier orders are refused.
        if born < endpoint.entry.born || endpoint.fence.is_none() || sent_at < endpoint.fenced_at {
            return;
        }
        let longest_lease_ms = self.longest_lease_ms();
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        if endpoint.is_silent() {
            log::info!(endpoint:% = name, closed_ms = endpoint.reopen_pause_ms; "endpoint answers again");
            self.changed = true;
        }
        endpoint.hold_ended(true);
        let first_report = !endpoint.reported;
        endpoint.hold_answered(&self.tuning, now);
        endpoint.clock = Some((report.clock_ms, now));
        endpoint.last_end_acked = endpoint.last_end_acked.max(seen);
        // The proof that the first report gives needs its last page of ends.
        endpoint.reported |= !report.more_ends;
        if first_report && endpoint.reported {
            endpoint.limit_former_leases(now + longest_lease_ms);
        }
        endpoint.contacted = true;
        self.changed |= first_report;
        for end in &report.ended {
            let Some(endpoint) = self.endpoints.get_mut(name) else {
                return;
            };
            if end.number <= endpoint.last_end {
                continue;
            }
            endpoint.last_end = end.number;
            self.run_ended(name, end, now);
        }
        let changed_up_to = self.dirty.end();
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            let noted = endpoint
                .unstored_ends
                .back()
                .map_or(endpoint.last_end_stored, |(number, _)| *number);
            if endpoint.last_end > noted {
                endpoint.unstored_ends.push_back((endpoint.last_end, changed_up_to));
            }
        }
        self.reconcile(name, report, first_report, sent_at, now);
    }

    /// Reconciles the expected runs of an endpoint with the reported ones.
    fn reconcile(&mut self, name: &Arc<str>, report: &Report, first_report: bool, sent_at: u64, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        let born = endpoint.entry.born;
        let running: BTreeMap<(&str, u32), &RunningTask> =
            report.running.iter().map(|run| ((&*run.task, run.run), run)).collect();
        let is_expected = |run: &&RunningTask| endpoint.runs.contains_key(&(Arc::clone(&run.task), run.run));
        let unexpected: Vec<&RunningTask> = report.running.iter().filter(|run| !is_expected(run)).collect();
        let mut missing = Vec::new();
        let mut stalled = Vec::new();
        let mut measured = Vec::new();
        for ((task, run), placed_run) in &mut endpoint.runs {
            let Some(job) = self.jobs.get_mut(&placed_run.job) else {
                continue;
            };
            let Some(found) = running.get(&(&**task, *run)) else {
                missing.push(placed_run.clone());
                continue;
            };
            let step = job.step(placed_run.unit);
            let (checkpoints, lasting, estimate) = (step.checkpoints, step.lasting, step.estimate_ms);
            let unit = &mut job.units[placed_run.unit];
            let is_active = unit.state == UnitState::Active;
            // A finished member waits for the slower ones of its gang, so a unit counts as stalled only as a whole.
            let progressed_at = unit
                .members
                .iter()
                .map(|member| member.progressed_at)
                .max()
                .unwrap_or(now);
            let Some(member) = unit.members.get_mut(placed_run.member) else {
                continue;
            };
            if member.born != born {
                // The record of a former leader names an earlier incarnation; the start has reached this one.
                member.born = born;
                self.dirty.insert(Arc::clone(&placed_run.job));
            }
            if matches!(member.state, MemberState::Recovered | MemberState::Sent { .. }) {
                member.state = MemberState::Running;
                member.progressed_at = now;
            }
            if checkpoints && !found.checkpoint.is_empty() {
                unit.checkpoint = Arc::clone(&found.checkpoint);
            }
            if found.percent > member.percent {
                member.percent = found.percent;
                member.progressed_at = now;
                let (from, since) = *member.measured_from.get_or_insert((found.percent, now));
                let progress = found.percent - from;
                // A member may have reached 100 percent some time before the report.
                if progress >= MEASURE_PERCENT_MIN && found.percent < 100.0 && estimate > 0 && now > since {
                    member.measured_from = Some((found.percent, now));
                    let duration = (now - since) as f64 * 100.0 / progress;
                    let log_ratio = (estimate as f64 / duration).ln();
                    measured.push((placed_run.clone(), unit.step, log_ratio));
                }
            }
            let stall_checked = !lasting && is_active && member.state == MemberState::Running;
            let stall_limit_ms = self.tuning.stall_ms.max(estimate / 20);
            if stall_checked && now.saturating_sub(progressed_at.max(member.progressed_at)) > stall_limit_ms {
                log::warn!(task:% = task, run, endpoint:% = name, percent = member.percent; "run makes no progress");
                stalled.push(placed_run.clone());
            }
            let left = remaining_ms(job, placed_run.unit, &self.work_estimates, now);
            placed_run.ends_at = now.saturating_add(left);
        }
        self.stop_unexpected(name, born, &unexpected);
        for placed_run in missing {
            let Some(job) = self.jobs.get(&placed_run.job) else {
                continue;
            };
            let Some(member) = job.units[placed_run.unit].members.get(placed_run.member) else {
                continue;
            };
            // With further ends to come, its end may be among them.
            if !report.more_ends && is_gone(member, first_report, sent_at) {
                self.member_gone(
                    &placed_run.job,
                    placed_run.unit,
                    placed_run.member,
                    "the endpoint does not list it",
                    now,
                );
            }
        }
        for placed_run in stalled {
            // Another member of the unit may have stopped it.
            let unit = self.jobs.get(&placed_run.job).map(|job| &job.units[placed_run.unit]);
            if unit.is_none_or(|unit| unit.state != UnitState::Active) {
                continue;
            }
            self.record_failure(name, &placed_run.job, now);
            self.stop_unit(&placed_run.job, placed_run.unit, "no progress", now);
        }
        self.learn_from_report(name, &running, measured, now);
    }

    /// Stops the unexpected runs that an endpoint has reported.
    fn stop_unexpected(&mut self, name: &Arc<str>, born: u64, unexpected: &[&RunningTask]) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            self.changed |= endpoint.unexpected_runs > unexpected.len();
            endpoint.unexpected_runs = unexpected.len();
        }
        for found in unexpected.iter().take(UNEXPECTED_STOPS_MAX) {
            log::warn!(task:% = found.task, run = found.run, endpoint:% = name, percent = found.percent; "endpoint reports an unexpected run; stopping it");
            self.effects.push(Effect::Stop(Stop {
                endpoint: Arc::clone(name),
                born,
                task: Arc::clone(&found.task),
                run: found.run,
            }));
        }
    }

    /// Updates the speed of an endpoint, and the work of the queue, from the measured progress of a run. Returns the
    /// logarithm of the ratio of the measured speed to the one expected of the endpoint, if others can be compared.
    pub(super) fn learn_speed(&mut self, name: &Arc<str>, id: &Arc<str>, step: usize, log_ratio: f64) -> Option<f64> {
        let job = self.jobs.get_mut(id)?;
        let estimate = (job.submission.graph.steps[step].estimate_ms as f64).ln();
        let first_of_step = job.step_speeds[step].is_empty();
        let endpoints = &mut self.endpoints;
        let typical_log_speed = self.typical_log_speed;
        let log_speed_of = |endpoint: &Arc<str>| {
            endpoints.get(endpoint).map_or(typical_log_speed, |found| {
                found.speed_estimate.smoothed(typical_log_speed)
            })
        };
        if first_of_step {
            // The work follows from the ratio of estimate to duration and the speed of the endpoint.
            let work = estimate - log_ratio + log_speed_of(name) - typical_log_speed;
            self.work_estimates.learn(&job.submission.queue, work, estimate);
        }
        let expected = log_speed_of(name);
        let compared = job.step_speeds[step].compared(name, log_ratio, log_speed_of);
        for (endpoint, measured_log_speed, weight) in job.step_speeds[step].add(name, log_ratio, log_speed_of) {
            if let Some(endpoint) = endpoints.get_mut(&endpoint) {
                endpoint
                    .speed_estimate
                    .learn(measured_log_speed, weight, typical_log_speed);
            }
        }
        Some(compared? - expected)
    }

    /// Processes the end of a run.
    fn run_ended(&mut self, name: &Arc<str>, end: &RunEnd, now: u64) {
        let key = (Arc::clone(&end.task), end.run);
        let Some(placed_run) = self
            .endpoints
            .get(name)
            .and_then(|endpoint| endpoint.runs.get(&key))
            .cloned()
        else {
            self.unmatched_end(name, end, now);
            return;
        };
        let Some(job) = self.jobs.get_mut(&placed_run.job) else {
            return;
        };
        let lasting = job.step(placed_run.unit).lasting;
        let checkpoints = job.step(placed_run.unit).checkpoints;
        let attempts = job.queue.as_ref().map_or(u32::MAX, |queue| queue.attempts);
        let unit = &mut job.units[placed_run.unit];
        let worked_ms = now.saturating_sub(unit.placed_at);
        log::info!(task:% = end.task, run = end.run, endpoint:% = name, outcome:? = end.outcome, worked_ms; "run ended");
        if checkpoints && !end.checkpoint.is_empty() {
            unit.checkpoint = Arc::clone(&end.checkpoint);
        }
        match end.outcome {
            Outcome::Done if !lasting => {
                if let Some(endpoint) = self.endpoints.get_mut(name) {
                    endpoint.run_succeeded();
                }
                self.unit_done(&placed_run.job, placed_run.unit, now);
            }
            Outcome::Failed => {
                unit.run_failed();
                unit.avoid.insert(Arc::clone(name));
                let can_fail = !lasting && unit.state != UnitState::Done && !job.phase.is_final();
                let failed = can_fail && unit.failures >= attempts;
                let member = placed_run.member;
                self.record_failure(name, &placed_run.job, now);
                self.member_gone(&placed_run.job, placed_run.unit, member, "a task failed", now);
                if failed {
                    self.end_job(&placed_run.job, Phase::Failed, now);
                }
                return;
            }
            _ => {}
        }
        self.member_gone(
            &placed_run.job,
            placed_run.unit,
            placed_run.member,
            "a member ended",
            now,
        );
    }

    /// Notes that a unit has succeeded, and ends its job if all others have.
    pub(super) fn unit_done(&mut self, id: &Arc<str>, position: usize, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.set_state(position, UnitState::Done);
        let unit = &mut job.units[position];
        // A member whose start has no answer is stopped, since a restarted endpoint would carry out a repeated start.
        for member in &mut unit.members {
            if !matches!(member.state, MemberState::Sent { .. }) {
                continue;
            }
            member.state = MemberState::Stopping {
                acked_at: None,
                resend_at: now + self.tuning.resend_ms,
                start_pending: member.state.has_one_start(),
            };
            self.effects.push(Effect::Stop(Stop {
                endpoint: Arc::clone(&member.endpoint),
                born: member.born,
                task: Arc::clone(&member.task),
                run: unit.run,
            }));
        }
        self.expect_end_now(id, position, now);
        self.claims.remove(&(Arc::clone(id), position));
        self.counts.add_end("done");
        // The endpoint may forget the end only after this is stored.
        self.dirty.insert(Arc::clone(id));
        self.changed = true;
        self.end_job_if_done(id, now);
    }

    /// Ends a job once all of its units are done.
    fn end_job_if_done(&mut self, id: &Arc<str>, now: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.phase.is_final() || !job.index.is_done() {
            return;
        }
        self.end_job(id, Phase::Done, now);
    }

    /// Records that a job failed on an endpoint, and quarantines the endpoint after several such jobs.
    fn record_failure(&mut self, name: &Arc<str>, job: &Arc<str>, now: u64) {
        let tuning = self.tuning.clone();
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        endpoint.failed_jobs.insert(Arc::clone(job));
        if endpoint.failed_jobs.len() < tuning.quarantine_after_jobs {
            return;
        }
        endpoint.quarantine_ms = (endpoint.quarantine_ms * 2).clamp(tuning.quarantine_ms, tuning.quarantine_max_ms);
        let for_ms = endpoint.quarantine_ms;
        // After the quarantine a single further failure starts the next one.
        endpoint.failed_jobs.pop_first();
        log::warn!(endpoint:% = name, for_ms; "endpoint quarantined");
        self.back_off(name, for_ms, now);
    }
}

/// Whether a member cannot exist any more, nor have ended unread, if a complete report that was asked for at `sent_at`
/// lists neither its run nor its end.
fn is_gone(member: &Member, first_report: bool, sent_at: u64) -> bool {
    match member.state {
        MemberState::Stopping {
            acked_at: Some(acked_at),
            ..
        } => acked_at < sent_at,
        // Once the endpoint has seen the present fencing token, it refuses orders of former leaders and orders for its
        // earlier incarnations. No start of this leader precedes the first report.
        MemberState::Recovered => true,
        MemberState::Stopping { acked_at: None, .. } => first_report,
        MemberState::Running => member.progressed_at < sent_at && !first_report,
        MemberState::Planned | MemberState::Sent { .. } | MemberState::Gone => false,
    }
}
