//! What goes to the endpoints and what comes back.

use std::collections::{BTreeMap, BTreeSet};

use super::attempt::Cause;
use super::controller::Planner;
use super::endpoint_link::{Contact, TASK_LEASE};
use super::request::{Answer, Request, RequestBody};
use crate::job::Phase;
use crate::name::{EndpointName, JobId};
use crate::platform::{Action, Batch, Command, EndpointError, Reply, Report, TaskState};
use crate::time::Millis;

/// Time between two reports of an endpoint, by what is expected of it.
const REPORT_CHANGING: Millis = Millis(200);
const REPORT_RUNNING: Millis = Millis(1000);
const REPORT_STEADY: Millis = Millis::from_secs(5);
const REPORT_IDLE: Millis = Millis::from_secs(10);
/// Time in which a new attempt is asked for often, since it may be a short job or fail at once.
const YOUNG: Millis = Millis::from_secs(5);
/// Age from which an attempt is asked rarely: 5 s more are little for a job that has run for minutes, and at the target
/// size reports of long jobs are most of what an instance sends.
const STEADY: Millis = Millis::from_secs(120);
/// Commands in one request.
const COMMANDS_MAX: usize = 256;

/// What an endpoint is to be asked at this step.
#[derive(Debug, Default)]
struct Needs {
    commands: Vec<Command>,
    /// Members that are not settled.
    active: bool,
    /// Members that are about to change state.
    changing: bool,
    /// Members that have not run for long.
    fresh: bool,
}

impl Planner {
    /// Requests that are due.
    pub(super) fn requests(&mut self, now: Millis, renew: bool) -> Vec<Request> {
        let mut needs = self.needs(now);
        let pool = self.ledger.pool.clone();
        let epoch = self.ledger.epoch;
        let mut requests = Vec::new();
        for (endpoint, contact) in &mut self.fleet.contacts {
            if !contact.may_send(now) {
                continue;
            }
            let need = needs.remove(endpoint).unwrap_or_default();
            let batch = (contact.boot.is_some()).then(|| batch(contact, need.commands, need.active && renew, now));
            let body = match batch {
                Some((commands, renew_ms)) if !commands.is_empty() || renew_ms.is_some() => {
                    let boot = contact.boot;
                    RequestBody::Commands(Batch {
                        pool: pool.clone(),
                        epoch,
                        boot,
                        renew_ms,
                        commands,
                    })
                }
                _ => {
                    let pause = match (need.changing, need.fresh, need.active) {
                        (true, ..) => REPORT_CHANGING,
                        (false, true, _) => REPORT_RUNNING,
                        (false, false, true) => REPORT_STEADY,
                        (false, false, false) => REPORT_IDLE,
                    };
                    let due = contact.boot.is_none()
                        || contact.is_failing()
                        || contact.reported.is_none_or(|at| now.since(at) >= pause);
                    if !due {
                        continue;
                    }
                    RequestBody::Report
                }
            };
            contact.busy = true;
            requests.push(Request {
                endpoint: endpoint.clone(),
                address: contact.address,
                body,
            });
        }
        requests
    }

    fn needs(&self, now: Millis) -> BTreeMap<EndpointName, Needs> {
        let mut needs: BTreeMap<EndpointName, Needs> = BTreeMap::new();
        for (id, entry) in &self.entries {
            let Some(attempt) = &entry.attempt else { continue };
            for (index, (member, seat)) in attempt.members.iter().zip(entry.seats()).enumerate() {
                if member.is_settled() {
                    continue;
                }
                let need = needs.entry(seat.endpoint.clone()).or_default();
                need.active = true;
                let age = now.since(attempt.since);
                need.fresh |= age < STEADY;
                need.changing |= age < YOUNG || member.state != Some(TaskState::Running);
                if let Some(action) = entry.action(index) {
                    let member = index as u16;
                    need.commands.push(Command {
                        job: id.clone(),
                        attempt: entry.row.attempt,
                        member,
                        action,
                    });
                }
            }
        }
        needs
    }

    /// Takes an endpoint's answer, or its absence.
    pub fn handle_answer(&mut self, now: Millis, request: &Request, result: Result<Answer, EndpointError>) {
        let Some(contact) = self.fleet.contacts.get_mut(&request.endpoint) else {
            return;
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("endpoint {}: {error}", request.endpoint);
                contact.failed(now);
                return;
            }
        };
        contact.answered(now);
        match (&request.body, answer) {
            (RequestBody::Commands(batch), Answer::Replies(replies)) => {
                for (command, reply) in batch.commands.iter().zip(replies) {
                    self.replied(&request.endpoint, command, reply);
                }
            }
            (RequestBody::Report, Answer::Report(report)) => {
                contact.reported = Some(now);
                self.reported(&request.endpoint, &report);
            }
            _ => {}
        }
    }

    fn replied(&mut self, endpoint: &EndpointName, command: &Command, reply: Reply) {
        if command.action == Action::Forget
            && let (Some(contact), Reply::Task { .. }) = (self.fleet.contacts.get_mut(endpoint), &reply)
        {
            let done = (&command.job, command.attempt, command.member);
            contact
                .forget
                .retain(|(job, attempt, member)| (job, *attempt, *member) != done);
        }
        match reply {
            Reply::Task { state } => self.learn(&command.job, command.attempt, command.member, Some(state)),
            Reply::Absent => self.learn(&command.job, command.attempt, command.member, None),
            Reply::Stale { .. } => self.fenced = true,
            Reply::Rebooted { boot } => self.rebooted(endpoint, boot),
            Reply::Busy { reason } => {
                log::info!("endpoint {endpoint} cannot hold job {}: {reason}", command.job);
                let attempt = self
                    .entries
                    .get_mut(&command.job)
                    .filter(|entry| entry.row.attempt == command.attempt);
                if let Some(attempt) = attempt.and_then(|entry| entry.attempt.as_mut()) {
                    attempt.stop(Cause::Unprepared {
                        endpoint: Some(endpoint.clone()),
                    });
                }
            }
        }
    }

    /// Notes a member's state; `None` means that its endpoint knows nothing of it.
    fn learn(&mut self, job: &JobId, attempt: u32, member: u16, state: Option<TaskState>) {
        let Some(entry) = self.entries.get_mut(job).filter(|entry| entry.row.attempt == attempt) else {
            return;
        };
        let Some(member) = entry
            .attempt
            .as_mut()
            .and_then(|attempt| attempt.members.get_mut(usize::from(member)))
        else {
            return;
        };
        match state {
            Some(state) if !member.gone => member.state = Some(state),
            Some(_) => {}
            None => member.gone = true,
        }
    }

    /// Counts all that an endpoint held before its restart as gone.
    fn rebooted(&mut self, endpoint: &EndpointName, boot: u64) {
        let Some(contact) = self.fleet.contacts.get_mut(endpoint) else {
            return;
        };
        if contact.boot.replace(boot) == Some(boot) {
            return;
        }
        contact.forget.clear();
        for id in self.jobs_on(endpoint) {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let running = matches!(entry.row.phase, Phase::Running { .. });
            for (member, seat) in entry.members_mut() {
                let held = running || member.state.is_some();
                member.gone |= seat.endpoint == *endpoint && held && !member.is_settled();
            }
        }
    }

    /// Jobs that hold seats on an endpoint.
    fn jobs_on(&self, endpoint: &EndpointName) -> BTreeSet<JobId> {
        let row = self.ledger.endpoints.get(endpoint);
        row.into_iter()
            .flat_map(|(row, _)| &row.held)
            .map(|held| held.job.clone())
            .collect()
    }

    fn reported(&mut self, endpoint: &EndpointName, report: &Report) {
        let known = self.fleet.contacts.get(endpoint).and_then(|contact| contact.boot);
        if known.is_some() {
            self.rebooted(endpoint, report.boot);
        } else if let Some(contact) = self.fleet.contacts.get_mut(endpoint) {
            contact.boot = Some(report.boot);
        }
        let mut seen = BTreeSet::new();
        let mut strays = Vec::new();
        for task in &report.tasks {
            if task.pool != self.ledger.pool {
                continue;
            }
            let current = self.entries.get(&task.job).is_some_and(|entry| {
                entry.row.attempt == task.attempt
                    && entry
                        .seats()
                        .get(usize::from(task.member))
                        .is_some_and(|seat| seat.endpoint == *endpoint)
            });
            if current {
                seen.insert((task.job.clone(), task.member));
                self.learn(&task.job, task.attempt, task.member, Some(task.state.clone()));
            } else {
                strays.push((task.job.clone(), task.attempt, task.member));
            }
        }
        if let Some(contact) = self.fleet.contacts.get_mut(endpoint) {
            for stray in strays {
                if !contact.forget.contains(&stray) {
                    contact.forget.push(stray);
                }
            }
        }
        self.miss(endpoint, &seen);
    }

    /// Counts members that their endpoint was known to have, and no longer reports, as gone.
    fn miss(&mut self, endpoint: &EndpointName, seen: &BTreeSet<(JobId, u16)>) {
        for id in self.jobs_on(endpoint) {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            for (index, (member, seat)) in (0..).zip(entry.members_mut()) {
                let known = seat.endpoint == *endpoint && member.state.is_some() && !member.is_settled();
                member.gone |= known && !seen.contains(&(id.clone(), index));
            }
        }
    }
}

/// Commands for an endpoint and the lease renewal that goes with them.
fn batch(contact: &mut Contact, mut commands: Vec<Command>, active: bool, now: Millis) -> (Vec<Command>, Option<u64>) {
    commands.truncate(COMMANDS_MAX);
    for (job, attempt, member) in contact.forget.iter().take(COMMANDS_MAX - commands.len()) {
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
    let renew = active && !contact.is_failing() && (prepares || contact.renewal_due(now));
    if renew || prepares {
        contact.renewal_sent(now);
    }
    (commands, renew.then_some(TASK_LEASE.0))
}
