//! Requests to endpoints and the handling of their answers.

use std::collections::{BTreeMap, BTreeSet};

use super::attempt::StopCause;
use super::controller::Planner;
use super::endpoint_link::{EndpointLink, TASK_LEASE};
use super::request::{Answer, Request, RequestBody};
use crate::job::Phase;
use crate::name::{EndpointName, JobId};
use crate::platform::{Action, Batch, Command, EndpointError, Reply, Report, TaskState};
use crate::time::Millis;

/// Report interval of an endpoint with members that are about to change state.
const REPORT_EVERY_CHANGING: Millis = Millis(200);
/// Report interval of an endpoint whose youngest attempt is below [`STEADY_AGE_MIN`].
const REPORT_EVERY_RECENT: Millis = Millis(1000);
/// Report interval of an endpoint with long-running attempts only.
const REPORT_EVERY_STEADY: Millis = Millis::from_secs(5);
/// Report interval of an endpoint without active members.
const REPORT_EVERY_IDLE: Millis = Millis::from_secs(10);
/// Age up to which an attempt counts as changing, since a short job may end and a faulty one may fail at once.
const CHANGING_AGE_MAX: Millis = Millis::from_secs(5);
/// Age from which an attempt counts as steady. A delay of 5 s is small for a job that has run for minutes, and at the
/// target size report requests for long jobs are most of what an instance sends.
const STEADY_AGE_MIN: Millis = Millis::from_secs(120);
/// Limit on the commands in one request.
const COMMANDS_PER_REQUEST_MAX: usize = 256;

/// What an endpoint has to be sent or asked at this step.
#[derive(Debug, Default)]
struct PendingWork {
    commands: Vec<Command>,
    /// Whether any member may run or start.
    active: bool,
    /// Whether any member is about to change state.
    changing: bool,
    /// Whether any attempt is younger than [`STEADY_AGE_MIN`].
    recent: bool,
}

impl Planner {
    /// Builds the requests that are due.
    pub(super) fn due_requests(&mut self, now: Millis, renew: bool) -> Vec<Request> {
        let mut pending = self.pending_work(now);
        let pool = self.store.pool.clone();
        let epoch = self.store.epoch;
        let mut requests = Vec::new();
        for (endpoint, link) in &mut self.fleet.links {
            if !link.may_send(now) {
                continue;
            }
            let work = pending.remove(endpoint).unwrap_or_default();
            let batch = (link.boot.is_some()).then(|| build_batch(link, work.commands, work.active && renew, now));
            let body = match batch {
                Some((commands, renew_ms)) if !commands.is_empty() || renew_ms.is_some() => {
                    let boot = link.boot;
                    RequestBody::Commands(Batch {
                        pool: pool.clone(),
                        epoch,
                        boot,
                        renew_ms,
                        commands,
                    })
                }
                _ => {
                    let report_every = match (work.changing, work.recent, work.active) {
                        (true, ..) => REPORT_EVERY_CHANGING,
                        (false, true, _) => REPORT_EVERY_RECENT,
                        (false, false, true) => REPORT_EVERY_STEADY,
                        (false, false, false) => REPORT_EVERY_IDLE,
                    };
                    let due = link.boot.is_none()
                        || link.is_failing()
                        || link.reported_at.is_none_or(|at| now.since(at) >= report_every);
                    if !due {
                        continue;
                    }
                    RequestBody::Report
                }
            };
            link.in_flight = true;
            requests.push(Request {
                endpoint: endpoint.clone(),
                address: link.address,
                body,
            });
        }
        requests
    }

    fn pending_work(&self, now: Millis) -> BTreeMap<EndpointName, PendingWork> {
        let mut pending: BTreeMap<EndpointName, PendingWork> = BTreeMap::new();
        for (id, tracked) in &self.jobs {
            let Some(attempt) = &tracked.attempt else { continue };
            for (index, (member, seat)) in attempt.members.iter().zip(tracked.seats()).enumerate() {
                if member.is_terminal() {
                    continue;
                }
                let work = pending.entry(seat.endpoint.clone()).or_default();
                work.active = true;
                let age = now.since(attempt.phase_since);
                work.recent |= age < STEADY_AGE_MIN;
                work.changing |= age < CHANGING_AGE_MAX || member.state != Some(TaskState::Running);
                if let Some(action) = tracked.pending_action(index) {
                    let member = index as u16;
                    work.commands.push(Command {
                        job: id.clone(),
                        attempt: tracked.row.attempt,
                        member,
                        action,
                    });
                }
            }
        }
        pending
    }

    /// Handles an endpoint's answer or the error of its request.
    pub fn handle_answer(&mut self, now: Millis, request: &Request, result: Result<Answer, EndpointError>) {
        let Some(link) = self.fleet.links.get_mut(&request.endpoint) else {
            return;
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("endpoint {}: request failed: {error}", request.endpoint);
                link.record_failure(now);
                return;
            }
        };
        link.record_answer(now);
        match (&request.body, answer) {
            (RequestBody::Commands(batch), Answer::Replies(replies)) => {
                for (command, reply) in batch.commands.iter().zip(replies) {
                    self.handle_reply(&request.endpoint, command, reply);
                }
            }
            (RequestBody::Report, Answer::Report(report)) => {
                link.reported_at = Some(now);
                self.handle_report(&request.endpoint, &report);
            }
            _ => {}
        }
    }

    fn handle_reply(&mut self, endpoint: &EndpointName, command: &Command, reply: Reply) {
        if command.action == Action::Forget
            && let (Some(link), Reply::Task { .. }) = (self.fleet.links.get_mut(endpoint), &reply)
        {
            let forgotten = (&command.job, command.attempt, command.member);
            link.tasks_to_forget
                .retain(|(job, attempt, member)| (job, *attempt, *member) != forgotten);
        }
        match reply {
            Reply::Task { state } => self.set_member_state(&command.job, command.attempt, command.member, Some(state)),
            Reply::Absent => self.set_member_state(&command.job, command.attempt, command.member, None),
            Reply::Stale { .. } => self.fenced = true,
            Reply::Rebooted { boot } => self.handle_reboot(endpoint, boot),
            Reply::Busy { reason } => {
                log::info!("endpoint {endpoint} cannot prepare job {}: {reason}", command.job);
                let attempt = self
                    .jobs
                    .get_mut(&command.job)
                    .filter(|tracked| tracked.row.attempt == command.attempt);
                if let Some(attempt) = attempt.and_then(|tracked| tracked.attempt.as_mut()) {
                    attempt.stop(StopCause::Unprepared {
                        endpoint: Some(endpoint.clone()),
                    });
                }
            }
        }
    }

    /// Records a member's state; `None` means that its endpoint does not know it.
    fn set_member_state(&mut self, job: &JobId, attempt: u32, member: u16, state: Option<TaskState>) {
        let Some(tracked) = self.jobs.get_mut(job).filter(|tracked| tracked.row.attempt == attempt) else {
            return;
        };
        let Some(member) = tracked
            .attempt
            .as_mut()
            .and_then(|attempt| attempt.members.get_mut(usize::from(member)))
        else {
            return;
        };
        match state {
            Some(state) if !member.lost => member.state = Some(state),
            Some(_) => {}
            None => member.lost = true,
        }
    }

    /// Marks the members that an endpoint held before its restart as lost.
    fn handle_reboot(&mut self, endpoint: &EndpointName, boot: u64) {
        let Some(link) = self.fleet.links.get_mut(endpoint) else {
            return;
        };
        if link.boot.replace(boot) == Some(boot) {
            return;
        }
        link.tasks_to_forget.clear();
        for id in self.jobs_on(endpoint) {
            let Some(tracked) = self.jobs.get_mut(&id) else {
                continue;
            };
            let running = matches!(tracked.row.phase, Phase::Running { .. });
            for (member, seat) in tracked.members_mut() {
                let held = running || member.state.is_some();
                member.lost |= seat.endpoint == *endpoint && held && !member.is_terminal();
            }
        }
    }

    /// Jobs that hold seats on an endpoint.
    fn jobs_on(&self, endpoint: &EndpointName) -> BTreeSet<JobId> {
        let row = self.store.endpoints.get(endpoint);
        row.into_iter()
            .flat_map(|(row, _)| &row.held)
            .map(|held| held.job.clone())
            .collect()
    }

    fn handle_report(&mut self, endpoint: &EndpointName, report: &Report) {
        let known = self.fleet.links.get(endpoint).and_then(|link| link.boot);
        if known.is_some() {
            self.handle_reboot(endpoint, report.boot);
        } else if let Some(link) = self.fleet.links.get_mut(endpoint) {
            link.boot = Some(report.boot);
        }
        let mut seen = BTreeSet::new();
        let mut orphans = Vec::new();
        for task in &report.tasks {
            if task.pool != self.store.pool {
                continue;
            }
            let current = self.jobs.get(&task.job).is_some_and(|tracked| {
                tracked.row.attempt == task.attempt
                    && tracked
                        .seats()
                        .get(usize::from(task.member))
                        .is_some_and(|seat| seat.endpoint == *endpoint)
            });
            if current {
                seen.insert((task.job.clone(), task.member));
                self.set_member_state(&task.job, task.attempt, task.member, Some(task.state.clone()));
            } else {
                orphans.push((task.job.clone(), task.attempt, task.member));
            }
        }
        if let Some(link) = self.fleet.links.get_mut(endpoint) {
            for orphan in orphans {
                if !link.tasks_to_forget.contains(&orphan) {
                    link.tasks_to_forget.push(orphan);
                }
            }
        }
        self.mark_missing_members(endpoint, &seen);
    }

    /// Marks members as lost that their endpoint had and no longer reports.
    fn mark_missing_members(&mut self, endpoint: &EndpointName, seen: &BTreeSet<(JobId, u16)>) {
        for id in self.jobs_on(endpoint) {
            let Some(tracked) = self.jobs.get_mut(&id) else {
                continue;
            };
            for (index, (member, seat)) in (0..).zip(tracked.members_mut()) {
                let known = seat.endpoint == *endpoint && member.state.is_some() && !member.is_terminal();
                member.lost |= known && !seen.contains(&(id.clone(), index));
            }
        }
    }
}

/// Adds due `Forget` commands, and returns all commands with the lease renewal to send along.
fn build_batch(
    link: &mut EndpointLink,
    mut commands: Vec<Command>,
    active: bool,
    now: Millis,
) -> (Vec<Command>, Option<u64>) {
    commands.truncate(COMMANDS_PER_REQUEST_MAX);
    for (job, attempt, member) in link
        .tasks_to_forget
        .iter()
        .take(COMMANDS_PER_REQUEST_MAX - commands.len())
    {
        let (attempt, member) = (*attempt, *member);
        commands.push(Command {
            job: job.clone(),
            attempt,
            member,
            action: Action::Forget,
        });
    }
    let prepares = commands
        .iter()
        .any(|command| matches!(command.action, Action::Prepare { .. }));
    let renew = active && !link.is_failing() && (prepares || link.renewal_due(now));
    if renew || prepares {
        link.record_renewal(now);
    }
    (commands, renew.then_some(TASK_LEASE.0))
}
