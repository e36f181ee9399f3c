//! Calls that must not run twice.

use super::guard::{Flight, Reserved};
use super::idempotent::result_of;
use super::probe::Verdict;
use super::rows::Unwritten;
use super::stage::{Received, Stage, sent};
use super::{Assembly, Call, CallController, CallError, ENDPOINT_TRIES_MAX, POLL_INTERVAL, Progress};
use crate::accept::{AcceptError, StoredJob, check_spec, read_job, view_job};
use crate::job::{JobRow, NotRunReason, Outcome, Phase};
use crate::name::{EndpointName, PoolName};
use crate::platform::{EndpointError, TableError};
use crate::route::CallResult;
use crate::row::key;
use crate::time::Millis;

/// Stands for a pool in the row of a call, which no planner plans.
const CALLS_POOL: &str = "calls";
/// Tries to write the first attempt.
const OPENS_MAX: usize = 4;

fn endpoints_of(row: &JobRow) -> Vec<EndpointName> {
    sent(row).map(|(endpoint, _, _)| endpoint.clone()).into_iter().collect()
}

/// How writing an attempt came out.
enum Opened {
    /// It is written and may be sent.
    Written(Box<StoredJob>),
    /// The row or the configuration changed, or it is not known whether the attempt is written: the row is to be read.
    Changed,
    /// The attempt is not written.
    Failed(CallError),
}

impl CallController {
    /// Reads the row and decides how to go on.
    pub(super) fn look(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        if call.flight.is_none() {
            call.flight = Flight::take(&self.flights, &call.id);
        }
        if call.flight.is_none() {
            // Another thread carries the same call out; its outcome will be in the row.
            if call.is_late(now) {
                return Ok(call.give_up("The call is still being carried out"));
            }
            return Ok(Progress::Wait(POLL_INTERVAL));
        }
        let stored = match read_job(&*self.table, &call.id) {
            Ok(Some(stored)) => stored,
            Ok(None) => return self.open(now, call),
            Err(AcceptError::Unread(error)) if !call.found => return Err(AcceptError::Table(error).into()),
            Err(_) if call.is_late(now) => return Ok(call.give_up("The call's row cannot be read")),
            Err(_) => return Ok(Progress::Wait(POLL_INTERVAL)),
        };
        if stored.row.digest != call.digest {
            return Err(AcceptError::Conflict(call.id.clone()).into());
        }
        call.found = true;
        Ok(self.follow(now, call, stored))
    }

    /// Goes on from a row of this call.
    fn follow(&self, now: Millis, call: &mut Call, stored: StoredJob) -> Progress {
        let Some((endpoint, _, sender)) = sent(&stored.row) else {
            return match view_job(&*self.objects, stored.row) {
                Ok(view) => Progress::Done(Box::new(view)),
                Err(_) if call.is_late(now) => call.give_up("The call's answer cannot be read"),
                Err(_) => Progress::Wait(POLL_INTERVAL),
            };
        };
        if call.opened.contains(&stored.op) {
            // Written by this call and not sent. A later try may have reserved a slot on another endpoint.
            let reserved = call.reserved.take().filter(|reserved| reserved.endpoint == *endpoint);
            match reserved {
                Some(reserved) => call.stage = Stage::Send { stored, reserved },
                None => self.move_on(now, call, stored, NotRunReason::Busy),
            }
            return Progress::Again;
        }
        if call.unstarted == Some(stored.version) {
            self.move_on(now, call, stored, NotRunReason::Refused);
            return Progress::Again;
        }
        let abandoned = sender == self.session.instance() || self.member.lapsed(now, sender).is_some();
        if abandoned {
            call.stage = Stage::Doubt { stored };
            return Progress::Again;
        }
        if call.is_late(now) {
            return call.give_up("The call is still being carried out");
        }
        Progress::Wait(POLL_INTERVAL)
    }

    /// Writes the first attempt.
    fn open(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        let basis = self.session.view(now).ok_or(AcceptError::NoSession)?;
        check_spec(&basis.catalog, &call.spec)?;
        if call.opened.len() >= OPENS_MAX || call.tries >= ENDPOINT_TRIES_MAX || call.is_late(now) {
            return Err(CallError::Busy);
        }
        let Some(reserved) = self.pick(now, &mut call.avoid) else {
            return Err(CallError::Busy);
        };
        let row = JobRow {
            id: call.id.clone(),
            spec: call.spec.clone(),
            digest: call.digest.clone(),
            pool: PoolName::new(CALLS_POOL).map_err(|_error| CallError::Busy)?,
            attempt: 0,
            phase: Phase::Queued,
            cancel: false,
            started: false,
            checkpoint: None,
            stored: None,
            trace: call.trace.clone(),
        };
        match self.write_next(now, call, row, None, reserved) {
            Opened::Written(stored) => call.set_send(*stored),
            Opened::Changed => {}
            Opened::Failed(error) => return Err(error),
        }
        Ok(Progress::Again)
    }

    /// Writes the next attempt after the one in `row`, on the reserved endpoint.
    fn write_next(
        &self,
        now: Millis,
        call: &mut Call,
        row: JobRow,
        former: Option<&StoredJob>,
        reserved: Reserved,
    ) -> Opened {
        let endpoint = reserved.endpoint.clone();
        let Ok(boot) = self.boot(&endpoint, reserved.address) else {
            reserved.finish(now, CallResult::Unreachable);
            call.avoid.push(endpoint);
            call.tries += 1;
            return Opened::Changed;
        };
        let Some(basis) = self.session.view(now) else {
            return Opened::Failed(AcceptError::NoSession.into());
        };
        let sender = self.session.instance().clone();
        let row = JobRow {
            attempt: row.attempt + 1,
            phase: Phase::Sent { endpoint, boot, sender },
            ..row
        };
        let op = self.ops.next();
        call.opened.push(op.clone());
        call.reserved = Some(reserved);
        match self.write_attempt(op.clone(), &row, former, basis.check()) {
            Ok(version) => Opened::Written(Box::new(StoredJob { row, version, op })),
            Err(TableError::Conflict { key, .. }) => {
                if key == key::HEAD {
                    // A failure shows in the next try.
                    let _ = self.session.refresh(now);
                }
                Opened::Changed
            }
            Err(TableError::Limited) => Opened::Failed(AcceptError::Busy.into()),
            Err(error) if error.is_unwritten() => Opened::Failed(AcceptError::Table(error).into()),
            Err(_) => Opened::Changed,
        }
    }

    pub(super) fn send(&self, now: Millis, call: &mut Call, stored: StoredJob, mut reserved: Reserved) -> Progress {
        // From here on, a row with one of these identifiers no longer means that nothing was sent.
        call.opened.clear();
        if call.is_late(now) {
            call.set_late(stored);
            return Progress::Again;
        }
        let Some((_, boot, _)) = sent(&stored.row) else {
            return Progress::Again;
        };
        reserved.start(now);
        call.tries += 1;
        let request = call.request(now, stored.row.attempt, Some(boot));
        let received = self
            .endpoints
            .call(reserved.address, &request, call.deadline.since(now));
        call.stage = Stage::Judge {
            stored,
            reserved,
            received,
        };
        Progress::Again
    }

    pub(super) fn judge(
        &self,
        now: Millis,
        call: &mut Call,
        stored: StoredJob,
        reserved: Reserved,
        received: Received,
    ) -> Progress {
        let endpoint = reserved.endpoint.clone();
        let attempt = stored.row.attempt;
        let outcome = match &received {
            Ok(parts) => Assembly::outcome_of(&call.id, attempt, parts.iter().cloned()),
            Err(_) => None,
        };
        reserved.finish(now, result_of(&received, outcome.is_some()));
        if let Some(outcome) = outcome {
            call.known = Some((attempt, outcome.clone()));
            call.stage = Stage::Close { stored, outcome };
            return Progress::Again;
        }
        match received {
            Err(error) if error.is_unstarted() => {
                if error == EndpointError::Refused {
                    self.forget_boot(&endpoint);
                } else {
                    call.avoid.push(endpoint);
                }
                let reason = if error == EndpointError::Full {
                    NotRunReason::Busy
                } else {
                    NotRunReason::Refused
                };
                self.move_on(now, call, stored, reason);
            }
            _ => {
                call.avoid.push(endpoint);
                call.stage = Stage::Doubt { stored };
            }
        }
        Progress::Again
    }

    /// Goes on from an attempt that was not started and never will be: with the next one, or by ending the call.
    fn move_on(&self, now: Millis, call: &mut Call, stored: StoredJob, reason: NotRunReason) {
        call.unstarted = Some(stored.version);
        if call.is_late(now) {
            call.set_late(stored);
            return;
        }
        let may_try =
            call.tries < ENDPOINT_TRIES_MAX && self.session.is_live(now) && self.router().take_retry_token(now);
        let reserved = if may_try { self.pick(now, &mut call.avoid) } else { None };
        if let Some(reserved) = reserved {
            match self.write_next(now, call, stored.row.clone(), Some(&stored), reserved) {
                Opened::Written(stored) => return call.set_send(*stored),
                Opened::Changed => return call.stage = Stage::Look,
                Opened::Failed(_) => call.reserved = None,
            }
        }
        let message = "No endpoint started the call.".to_owned();
        let outcome = Outcome::NotRun { reason, message };
        call.stage = Stage::Close { stored, outcome };
    }

    /// Asks the endpoint what became of the attempt.
    pub(super) fn doubt(&self, now: Millis, call: &mut Call, stored: StoredJob) -> Progress {
        let outcome = match self.probe(&stored.row) {
            Verdict::Unstarted => {
                self.move_on(now, call, stored, NotRunReason::Refused);
                return Progress::Again;
            }
            Verdict::Ended(outcome) => {
                call.known = Some((stored.row.attempt, outcome.clone()));
                outcome
            }
            Verdict::Forgotten => Outcome::Unknown {
                reason: "The endpoint restarted and cannot tell whether the call ran.".to_owned(),
            },
            Verdict::Running | Verdict::Silent | Verdict::Gone => {
                if call.is_late(now) {
                    return call.give_up("The endpoint has not told yet whether the call ran");
                }
                call.stage = Stage::Doubt { stored };
                return Progress::Wait(POLL_INTERVAL);
            }
        };
        call.stage = Stage::Close { stored, outcome };
        Progress::Again
    }

    /// Writes the outcome.
    pub(super) fn close(&self, now: Millis, call: &mut Call, stored: StoredJob, outcome: Outcome) -> Progress {
        match self.write_outcome(&stored, outcome.clone()) {
            Ok(()) => call.done(stored.row.attempt, endpoints_of(&stored.row), outcome),
            // Someone else wrote the row: it tells how to go on.
            Err(Unwritten::Table(TableError::Conflict { .. })) => Progress::Again,
            Err(_) if call.is_late(now) => call.give_up("The call's outcome cannot be written"),
            // It may be written: the row is read after a pause.
            Err(Unwritten::Table(TableError::Unknown(_) | TableError::Format(_))) => Progress::Wait(POLL_INTERVAL),
            Err(_) => {
                call.stage = Stage::Close { stored, outcome };
                Progress::Wait(POLL_INTERVAL)
            }
        }
    }
}
