//! Calls sent directly to one endpoint, for comparison with calls through instances.

use std::time::{Duration, Instant};

use yuccaridge::job::Outcome;
use yuccaridge::platform::http::{HttpEndpoints, Timeouts};
use yuccaridge::platform::{Address, CallRequest, EndpointError, Endpoints};
use yuccaridge::time::Millis;

use super::mix::Request;
use super::request_result::RequestResult;
use super::sender::Sender;

/// Sends calls directly to one endpoint.
#[derive(Debug)]
pub struct DirectSender {
    endpoint: Address,
    endpoints: HttpEndpoints,
    timeout: Millis,
}

impl DirectSender {
    /// Creates a sender to this endpoint; a call without an answer after `timeout` counts as missing.
    pub fn new(endpoint: Address, timeout: Duration) -> Self {
        Self {
            endpoint,
            endpoints: HttpEndpoints::new(Timeouts::default()),
            timeout: Millis(timeout.as_millis() as u64),
        }
    }
}

impl Sender for DirectSender {
    fn send(&self, request: &Request, _: Instant) -> RequestResult {
        let result = RequestResult::default();
        let call = CallRequest {
            boot: None,
            job: request.id.clone(),
            attempt: 1,
            team: request.spec.team.clone(),
            kind: request.spec.kind.clone(),
            deadline_ms: self.timeout.0,
            trace: None,
            payload: request.spec.payload.clone(),
        };
        match self.endpoints.call(self.endpoint, &call, self.timeout) {
            Ok(parts) if parts.iter().any(|part| part.failed) => result.with_outcome("failed"),
            Ok(parts) => {
                let answer = parts.into_iter().map(|part| part.data).collect();
                result.check_outcome(request, &Outcome::Completed { answer })
            }
            Err(EndpointError::Lost(reason)) => result.missing(reason),
            Err(error) => {
                let code = match &error {
                    EndpointError::Full => "full",
                    EndpointError::Refused => "refused",
                    _ => "unreached",
                };
                result.refused(code, error.to_string())
            }
        }
    }
}
