//! Calls that may run twice.

use super::guard::Reserved;
use super::stage::{Received, Stage};
use super::{Assembly, Call, CallController, CallError, ENDPOINT_TRIES_MAX, Progress};
use crate::job::{NotRunReason, Outcome};
use crate::platform::{CallRequest, EndpointError};
use crate::route::CallResult;
use crate::time::Millis;

impl Call {
    /// The request for one attempt.
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

    /// Takes what came back for an idempotent call.
    pub(super) fn judge_try(&mut self, now: Millis, reserved: Reserved, received: &Received) -> Progress {
        let attempt = self.base + self.tries - 1;
        let outcome = match received {
            Ok(parts) => Assembly::outcome_of(&self.id, attempt, parts.iter().cloned()),
            Err(_) => None,
        };
        let endpoint = reserved.endpoint.clone();
        self.lost |= received.as_ref().map_or_else(|error| !error.is_unstarted(), |_| true);
        reserved.finish(now, result_of(received, outcome.is_some()));
        if let Some(outcome) = outcome {
            return self.done(self.tries, vec![endpoint], outcome);
        }
        self.avoid.push(endpoint);
        self.stage = Stage::Try;
        Progress::Again
    }
}

/// What a call's result says about its endpoint.
pub(super) fn result_of(received: &Received, whole: bool) -> CallResult {
    match received {
        Ok(_) if whole => CallResult::Answered,
        Ok(_) | Err(EndpointError::Lost(_)) => CallResult::Failed,
        Err(EndpointError::Full) => CallResult::Busy,
        Err(EndpointError::Unreached(_)) => CallResult::Unreachable,
        Err(EndpointError::Refused) => CallResult::Abandoned,
    }
}

impl CallController {
    /// Sends an idempotent call to an endpoint that has not failed it.
    pub(super) fn try_once(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        if call.is_late(now) {
            if call.lost {
                return Ok(call.give_up("No endpoint answered in time"));
            }
            let message = "No endpoint took the call before its deadline.".to_owned();
            let reason = NotRunReason::Deadline;
            return Ok(call.done(0, Vec::new(), Outcome::NotRun { reason, message }));
        }
        let may_try = call.tries == 0 || (call.tries < ENDPOINT_TRIES_MAX && self.router().take_retry_token(now));
        let reserved = if may_try { self.pick(now, &mut call.avoid) } else { None };
        let Some(reserved) = reserved else {
            if call.lost {
                return Ok(call.give_up("The endpoint's answer was lost"));
            }
            return Err(CallError::Busy);
        };
        let request = call.request(now, call.base + call.tries, None);
        call.tries += 1;
        let received = self
            .endpoints
            .call(reserved.address, &request, call.deadline.since(now));
        call.stage = Stage::Tried { reserved, received };
        Ok(Progress::Again)
    }
}
