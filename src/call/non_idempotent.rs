//! Non-idempotent calls, which must not run twice.

use super::guard::{InFlightGuard, SlotReservation};
use super::idempotent::call_result;
use super::probe::ProbeResult;
use super::rows::OutcomeWriteError;
use super::stage::{SendResult, Stage, sent_phase};
use super::{Assembly, Call, CallController, CallError, ENDPOINT_TRIES_MAX, POLL_INTERVAL, Progress};
use crate::accept::{AcceptError, StoredJob, check_spec, read_job, view_job};
use crate::job::{JobRow, NotRunReason, Outcome, Phase};
use crate::name::{EndpointName, PoolName};
use crate::platform::{EndpointError, TableError};
use crate::route::CallResult;
use crate::row::key;
use crate::time::Millis;

/// Pool name in the rows of calls; no planner holds this pool.
const CALLS_POOL: &str = "calls";
/// Most transactions that try to write the first attempt.
const FIRST_ATTEMPT_WRITES_MAX: usize = 4;

fn endpoints_of(row: &JobRow) -> Vec<EndpointName> {
    sent_phase(row)
        .map(|(endpoint, _, _)| endpoint.clone())
        .into_iter()
        .collect()
}

/// Result of writing an attempt.
enum AttemptWrite {
    /// The attempt is written and may be sent.
    Written(Box<StoredJob>),
    /// The row must be read again: it or the configuration changed, it is unknown whether the attempt is written, or
    /// the endpoint's boot could not be read.
    Reread,
    /// The attempt is not written.
    Failed(CallError),
}

impl CallController {
    /// Reads the call's row and chooses the next stage.
    pub(super) fn read_row(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        if call.in_flight_guard.is_none() {
            call.in_flight_guard = InFlightGuard::acquire(&self.in_flight_ids, &call.id);
        }
        if call.in_flight_guard.is_none() {
            // Another thread is executing the same call and will write its outcome to the row.
            if call.is_past_deadline(now) {
                return Ok(call.give_up("The call is still being executed"));
            }
            return Ok(Progress::Wait(POLL_INTERVAL));
        }
        let stored = match read_job(&*self.table, &call.id) {
            Ok(Some(stored)) => stored,
            Ok(None) => return self.write_first_attempt(now, call),
            Err(AcceptError::Lookup(error)) if !call.row_seen => return Err(AcceptError::Table(error).into()),
            Err(_) if call.is_past_deadline(now) => return Ok(call.give_up("The call's row cannot be read")),
            Err(_) => return Ok(Progress::Wait(POLL_INTERVAL)),
        };
        if stored.row.digest != call.digest {
            return Err(AcceptError::Conflict(call.id.clone()).into());
        }
        call.row_seen = true;
        Ok(self.continue_from_row(now, call, stored))
    }

    /// Chooses the next stage from the call's row.
    fn continue_from_row(&self, now: Millis, call: &mut Call, stored: StoredJob) -> Progress {
        let Some((endpoint, _, sender)) = sent_phase(&stored.row) else {
            return match view_job(&*self.objects, stored.row) {
                Ok(view) => Progress::Done(Box::new(view)),
                Err(_) if call.is_past_deadline(now) => call.give_up("The call's answer cannot be read"),
                Err(_) => Progress::Wait(POLL_INTERVAL),
            };
        };
        if call.unsent_ops.contains(&stored.op) {
            // This call wrote the attempt and has not sent it. A later try may have reserved a slot elsewhere.
            let reservation = call
                .reservation
                .take()
                .filter(|reservation| reservation.endpoint == *endpoint);
            match reservation {
                Some(reservation) => call.stage = Stage::Send { stored, reservation },
                None => self.retry_or_end(now, call, stored, NotRunReason::Busy),
            }
            return Progress::Again;
        }
        if call.unstarted_version == Some(stored.version) {
            self.retry_or_end(now, call, stored, NotRunReason::Refused);
            return Progress::Again;
        }
        let abandoned = sender == self.session.instance() || self.membership.lapse_check(now, sender).is_some();
        if abandoned {
            call.stage = Stage::Resolve { stored };
            return Progress::Again;
        }
        if call.is_past_deadline(now) {
            return call.give_up("The call is still being executed");
        }
        Progress::Wait(POLL_INTERVAL)
    }

    /// Writes the first attempt.
    fn write_first_attempt(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        let basis = self.session.versioned_catalog(now).ok_or(AcceptError::NoSession)?;
        check_spec(&basis.catalog, &call.spec)?;
        if call.unsent_ops.len() >= FIRST_ATTEMPT_WRITES_MAX
            || call.tries >= ENDPOINT_TRIES_MAX
            || call.is_past_deadline(now)
        {
            return Err(CallError::Busy);
        }
        let Some(reservation) = self.pick(now, &mut call.avoid) else {
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
        match self.write_next_attempt(now, call, row, None, reservation) {
            AttemptWrite::Written(stored) => call.set_send_stage(*stored),
            AttemptWrite::Reread => {}
            AttemptWrite::Failed(error) => return Err(error),
        }
        Ok(Progress::Again)
    }

    /// Writes the next attempt after the one in `row`, on the reserved endpoint.
    fn write_next_attempt(
        &self,
        now: Millis,
        call: &mut Call,
        row: JobRow,
        previous: Option<&StoredJob>,
        reservation: SlotReservation,
    ) -> AttemptWrite {
        let endpoint = reservation.endpoint.clone();
        let Ok(boot) = self.boot(&endpoint, reservation.address) else {
            reservation.release(now, CallResult::Unreachable);
            call.avoid.push(endpoint);
            call.tries += 1;
            return AttemptWrite::Reread;
        };
        let Some(basis) = self.session.versioned_catalog(now) else {
            return AttemptWrite::Failed(AcceptError::NoSession.into());
        };
        let sender = self.session.instance().clone();
        let row = JobRow {
            attempt: row.attempt + 1,
            phase: Phase::Sent { endpoint, boot, sender },
            ..row
        };
        let op = self.ops.next();
        call.unsent_ops.push(op.clone());
        call.reservation = Some(reservation);
        match self.commit_attempt(op.clone(), &row, previous, basis.check()) {
            Ok(version) => AttemptWrite::Written(Box::new(StoredJob { row, version, op })),
            Err(TableError::Conflict { key, .. }) => {
                if key == key::TICKET_HEAD {
                    // If the refresh fails, the next try reports it.
                    let _ = self.session.refresh(now);
                }
                AttemptWrite::Reread
            }
            Err(TableError::Limited) => AttemptWrite::Failed(AcceptError::Busy.into()),
            Err(error) if error.is_unwritten() => AttemptWrite::Failed(AcceptError::Table(error).into()),
            Err(_) => AttemptWrite::Reread,
        }
    }

    /// Sends the attempt that is in the row.
    pub(super) fn send(
        &self,
        now: Millis,
        call: &mut Call,
        stored: StoredJob,
        mut reservation: SlotReservation,
    ) -> Progress {
        // From here on, a row written by one of these transactions may have been sent.
        call.unsent_ops.clear();
        if call.is_past_deadline(now) {
            call.end_at_deadline(stored);
            return Progress::Again;
        }
        let Some((_, boot, _)) = sent_phase(&stored.row) else {
            return Progress::Again;
        };
        reservation.start_timer(now);
        call.tries += 1;
        let request = call.request(now, stored.row.attempt, Some(boot));
        let send_result = self
            .endpoints
            .call(reservation.address, &request, call.deadline.since(now));
        call.stage = Stage::HandleReply {
            stored,
            reservation,
            send_result,
        };
        Progress::Again
    }

    /// Ends the call with its outcome, or chooses how to continue without one.
    pub(super) fn handle_reply(
        &self,
        now: Millis,
        call: &mut Call,
        stored: StoredJob,
        reservation: SlotReservation,
        send_result: SendResult,
    ) -> Progress {
        let endpoint = reservation.endpoint.clone();
        let attempt = stored.row.attempt;
        let outcome = match &send_result {
            Ok(parts) => Assembly::outcome_of(&call.id, attempt, parts.iter().cloned()),
            Err(_) => None,
        };
        reservation.release(now, call_result(&send_result, outcome.is_some()));
        if let Some(outcome) = outcome {
            call.known_outcome = Some((attempt, outcome.clone()));
            call.stage = Stage::WriteOutcome { stored, outcome };
            return Progress::Again;
        }
        match send_result {
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
                self.retry_or_end(now, call, stored, reason);
            }
            _ => {
                call.avoid.push(endpoint);
                call.stage = Stage::Resolve { stored };
            }
        }
        Progress::Again
    }

    /// Continues after an attempt that was not started and never will be: writes the next attempt or ends the call.
    fn retry_or_end(&self, now: Millis, call: &mut Call, stored: StoredJob, reason: NotRunReason) {
        call.unstarted_version = Some(stored.version);
        if call.is_past_deadline(now) {
            call.end_at_deadline(stored);
            return;
        }
        let may_send =
            call.tries < ENDPOINT_TRIES_MAX && self.session.is_live(now) && self.router().take_retry_token(now);
        let reservation = if may_send {
            self.pick(now, &mut call.avoid)
        } else {
            None
        };
        if let Some(reservation) = reservation {
            match self.write_next_attempt(now, call, stored.row.clone(), Some(&stored), reservation) {
                AttemptWrite::Written(stored) => return call.set_send_stage(*stored),
                AttemptWrite::Reread => return call.stage = Stage::ReadRow,
                AttemptWrite::Failed(_) => call.reservation = None,
            }
        }
        let message = "No endpoint started the call.".to_owned();
        let outcome = Outcome::NotRun { reason, message };
        call.stage = Stage::WriteOutcome { stored, outcome };
    }

    /// Asks the endpoint whether the attempt ran, and chooses how to continue.
    pub(super) fn resolve(&self, now: Millis, call: &mut Call, stored: StoredJob) -> Progress {
        let outcome = match self.probe_attempt(&stored.row) {
            ProbeResult::Unstarted => {
                self.retry_or_end(now, call, stored, NotRunReason::Refused);
                return Progress::Again;
            }
            ProbeResult::Ended(outcome) => {
                call.known_outcome = Some((stored.row.attempt, outcome.clone()));
                outcome
            }
            ProbeResult::Restarted => Outcome::Unknown {
                reason: "The endpoint restarted and cannot tell whether the call ran.".to_owned(),
            },
            ProbeResult::Running | ProbeResult::Undetermined | ProbeResult::Delisted => {
                if call.is_past_deadline(now) {
                    return call.give_up("The endpoint has not reported yet whether the call ran");
                }
                call.stage = Stage::Resolve { stored };
                return Progress::Wait(POLL_INTERVAL);
            }
        };
        call.stage = Stage::WriteOutcome { stored, outcome };
        Progress::Again
    }

    /// Writes the outcome and ends the call.
    pub(super) fn write_outcome(&self, now: Millis, call: &mut Call, stored: StoredJob, outcome: Outcome) -> Progress {
        match self.commit_outcome(&stored, outcome.clone()) {
            Ok(()) => call.done(stored.row.attempt, endpoints_of(&stored.row), outcome),
            // Another writer changed the row; the next stage reads it.
            Err(OutcomeWriteError::Table(TableError::Conflict { .. })) => Progress::Again,
            Err(_) if call.is_past_deadline(now) => call.give_up("The call's outcome cannot be written"),
            // The outcome may be written; the row is read after a pause.
            Err(OutcomeWriteError::Table(TableError::Unknown(_) | TableError::Format(_))) => {
                Progress::Wait(POLL_INTERVAL)
            }
            Err(_) => {
                call.stage = Stage::WriteOutcome { stored, outcome };
                Progress::Wait(POLL_INTERVAL)
            }
        }
    }
}
