//! Idempotent calls, which may run more than once.

use super::guard::SlotReservation;
use super::stage::{SendResult, Stage};
use super::{Assembly, Call, CallController, CallError, ENDPOINT_TRIES_MAX, Progress};
use crate::job::{NotRunReason, Outcome};
use crate::platform::{CallRequest, EndpointError};
use crate::route::CallResult;
use crate::time::Millis;

impl Call {
    /// The request that starts an attempt.
    pub(super) fn request(&self, now: Millis, attempt: u32, boot: Option<u64>) -> CallRequest {
        CallRequest {
            job: self.id.clone(),
            attempt,
            team: self.spec.team.clone(),
            kind: self.spec.kind.clone(),
            boot,
            deadline_ms: self.deadline.since(now).0,
            trace: self.trace.clone(),
            payload: self.spec.payload.clone(),
        }
    }

    /// Ends the call with its outcome, or marks the endpoint as one to avoid and tries again.
    pub(super) fn handle_idempotent_reply(
        &mut self,
        now: Millis,
        reservation: SlotReservation,
        send_result: &SendResult,
    ) -> Progress {
        let attempt = self.first_attempt + self.tries - 1;
        let outcome = match send_result {
            Ok(parts) => Assembly::outcome_of(&self.id, attempt, parts.iter().cloned()),
            Err(_) => None,
        };
        let endpoint = reservation.endpoint.clone();
        self.may_have_run |= send_result
            .as_ref()
            .map_or_else(|error| !error.is_unstarted(), |_| true);
        reservation.release(now, call_result(send_result, outcome.is_some()));
        if let Some(outcome) = outcome {
            return self.done(self.tries, vec![endpoint], outcome);
        }
        self.avoid.push(endpoint);
        self.stage = Stage::SendIdempotent;
        Progress::Again
    }
}

/// Result of a send for the router; `complete` tells whether the whole answer arrived.
pub(super) fn call_result(send_result: &SendResult, complete: bool) -> CallResult {
    match send_result {
        Ok(_) if complete => CallResult::Answered,
        Ok(_) | Err(EndpointError::Lost(_)) => CallResult::Failed,
        Err(EndpointError::Full) => CallResult::Busy,
        Err(EndpointError::Unreached(_)) => CallResult::Unreachable,
        Err(EndpointError::Refused) => CallResult::Abandoned,
    }
}

impl CallController {
    /// Sends an idempotent call to an endpoint that has not failed it before.
    pub(super) fn send_idempotent(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        if call.is_past_deadline(now) {
            if call.may_have_run {
                return Ok(call.give_up("No endpoint answered in time"));
            }
            let message = "No endpoint accepted the call before its deadline.".to_owned();
            let reason = NotRunReason::Deadline;
            return Ok(call.done(0, Vec::new(), Outcome::NotRun { reason, message }));
        }
        let may_send = call.tries == 0 || (call.tries < ENDPOINT_TRIES_MAX && self.router().take_retry_token(now));
        let reservation = if may_send {
            self.pick(now, &mut call.avoid)
        } else {
            None
        };
        let Some(reservation) = reservation else {
            if call.may_have_run {
                return Ok(call.give_up("The endpoint's answer was lost"));
            }
            return Err(CallError::Busy);
        };
        let request = call.request(now, call.first_attempt + call.tries, None);
        call.tries += 1;
        let send_result = self
            .endpoints
            .call(reservation.address, &request, call.deadline.since(now));
        call.stage = Stage::HandleIdempotentReply {
            reservation,
            send_result,
        };
        Ok(Progress::Again)
    }
}
