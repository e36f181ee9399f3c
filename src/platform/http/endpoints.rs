//! Requests to endpoints over HTTP.

use std::io::{BufRead, BufReader, Read};

use attohttpc::Response;

use super::Timeouts;
use super::client::{Client, SendError, read_json, send};
use super::wire::{ErrorCode, RefuseBody};
use crate::name::JobId;
use crate::platform::{Address, Batch, CallPart, CallRequest, EndpointError, Endpoints, Refusal, Reply, Report};
use crate::time::Millis;

/// Longest line of the answer to a call, in bytes; a line holds one part.
const PART_BYTES_MAX: u64 = 16 << 20;
/// Longest answer to a call, in bytes.
const CALL_BYTES_MAX: u64 = 64 << 20;

/// Requests to endpoints over HTTP.
#[derive(Debug)]
pub struct HttpEndpoints {
    client: Client,
}

impl HttpEndpoints {
    /// Creates a client for endpoints at any address. The timeouts do not apply to calls, whose callers give their own.
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            client: Client::new(timeouts),
        }
    }
}

impl Endpoints for HttpEndpoints {
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError> {
        let replies: Vec<Reply> = self
            .client
            .exchange(address, "/v1/commands", batch)
            .map_err(endpoint_error)?;
        if replies.len() != batch.commands.len() {
            return Err(EndpointError::Lost(
                "the number of replies differs from the number of commands".to_owned(),
            ));
        }
        Ok(replies)
    }

    fn report(&self, address: Address) -> Result<Report, EndpointError> {
        send(self.client.get(address, "/v1/report"), &[])
            .and_then(read_json)
            .map_err(endpoint_error)
    }

    fn call(&self, address: Address, call: &CallRequest, timeout: Millis) -> Result<Vec<CallPart>, EndpointError> {
        let bytes = serde_json::to_vec(call).map_err(|error| EndpointError::Unreached(error.to_string()))?;
        let request = self
            .client
            .post(address, &format!("/v1/calls/{}", call.job))
            .read_timeout(timeout.duration())
            .timeout(timeout.duration());
        read_parts(send(request, &bytes).map_err(endpoint_error)?)
    }

    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, EndpointError> {
        self.client
            .exchange(address, &format!("/v1/calls/{job}/refuse"), &RefuseBody { attempt })
            .map_err(endpoint_error)
    }
}

/// Reads parts until the stream ends or fails or a part is invalid.
fn read_parts(answer: Response) -> Result<Vec<CallPart>, EndpointError> {
    let mut reader = BufReader::new(answer.split().2.take(CALL_BYTES_MAX));
    let mut parts = Vec::new();
    let reason = loop {
        let mut line = Vec::new();
        match reader.by_ref().take(PART_BYTES_MAX).read_until(b'\n', &mut line) {
            Ok(0) => break "the answer ended before its first part".to_owned(),
            Ok(_) => {}
            Err(error) => break error.to_string(),
        }
        match serde_json::from_slice(&line) {
            Ok(part) => parts.push(part),
            Err(error) => break format!("a part of the answer is invalid: {error}"),
        }
    };
    if parts.is_empty() {
        return Err(EndpointError::Lost(reason));
    }
    Ok(parts)
}

fn endpoint_error(error: SendError) -> EndpointError {
    match error {
        SendError::Unsent(reason) => EndpointError::Unreached(reason),
        SendError::Lost(reason) => EndpointError::Lost(reason),
        SendError::Refused(body) => match body.code {
            ErrorCode::Full => EndpointError::Full,
            ErrorCode::Refused => EndpointError::Refused,
            _ => EndpointError::Lost(body.message),
        },
    }
}
