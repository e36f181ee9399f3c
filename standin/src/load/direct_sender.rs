//! Calls sent directly to one endpoint, to compare.

use std::time::{Duration, Instant};

use yuccaridge::job::Outcome;
use yuccaridge::platform::http::{HttpEndpoints, Timeouts};
use yuccaridge::platform::{Address, CallRequest, EndpointError, Endpoints};
use yuccaridge::time::Millis;

use super::mix::Request;
use super::request_result::Ending;
use super::sender::Sender;

/// Sends calls directly to one endpoint.
#[derive(Debug)]
pub struct DirectSender {
    endpoint: Address,
    endpoints: HttpEndpoints,
    patience: Millis,
}

impl DirectSender {
    /// Sends to this endpoint; a call without an end after `patience` is missing.
    pub fn new(endpoint: Address, patience: Duration) -> Self {
        Self {
            endpoint,
            endpoints: HttpEndpoints::new(Timeouts::default()),
            patience: Millis(patience.as_millis() as u64),
        }
    }
}

impl Sender for DirectSender {
    fn send(&self, request: &Request, _: Instant) -> Ending {
        let ending = Ending::default();
        let call = CallRequest {
            boot: None,
            job: request.id.clone(),
            attempt: 1,
            team: request.spec.team.clone(),
            kind: request.spec.kind.clone(),
            deadline_ms: self.patience.0,
            trace: None,
            payload: request.spec.payload.clone(),
        };
        match self.endpoints.call(self.endpoint, &call, self.patience) {
            Ok(parts) if parts.iter().any(|part| part.failed) => ending.named("failed"),
            Ok(parts) => {
                let answer = parts.into_iter().map(|part| part.data).collect();
                ending.judge(request, &Outcome::Completed { answer })
            }
            Err(EndpointError::Lost(reason)) => ending.missing(reason),
            Err(error) => {
                let code = match &error {
                    EndpointError::Full => "full",
                    EndpointError::Refused => "refused",
                    _ => "unreached",
                };
                ending.refused(code, error.to_string())
            }
        }
    }
}
