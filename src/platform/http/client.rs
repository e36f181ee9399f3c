//! HTTP requests with limits on time and size.

use std::cell::Cell;
use std::io::Read;

use attohttpc::header::CONTENT_LENGTH;
use attohttpc::{ProxySettings, RequestBuilder, Response, Session, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::Timeouts;
use super::tracked_body::TrackedBody;
use super::wire::{ErrorBody, ErrorCode};
use crate::platform::Address;

/// Largest answer, in bytes. A page of 1,000 job rows at the target size stays below a tenth of it.
const ANSWER_BYTES_MAX: u64 = 64 << 20;
/// Largest error answer, in bytes.
const ERROR_BYTES_MAX: u64 = 64 << 10;

/// Failure of a request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum SendError {
    /// The connection could not be opened; nothing was sent.
    #[error("{0}")]
    Unsent(String),
    /// The server rejected the request and stated the reason.
    #[error("{}", .0.message)]
    Refused(ErrorBody),
    /// The request was sent at least in part, and no valid answer was received.
    #[error("{0}")]
    Lost(String),
}

impl SendError {
    /// Error code of the server, if it sent one.
    pub fn code(&self) -> Option<&ErrorCode> {
        match self {
            Self::Refused(body) => Some(&body.code),
            _ => None,
        }
    }
}

/// Client for JSON over HTTP.
#[derive(Debug)]
pub(super) struct Client(Session);

impl Client {
    pub fn new(timeouts: Timeouts) -> Self {
        let mut session = Session::new();
        session.connect_timeout(timeouts.connect.duration());
        session.read_timeout(timeouts.read.duration());
        session.timeout(timeouts.total().duration());
        // A redirect would repeat the request at another server, and a proxy would answer in place of the server.
        session.follow_redirects(false);
        session.proxy_settings(ProxySettings::builder().build());
        Self(session)
    }

    /// Starts a `GET` request.
    pub fn get(&self, address: Address, path: &str) -> RequestBuilder {
        self.0.get(format!("http://{address}{path}"))
    }

    /// Starts a `POST` request.
    pub fn post(&self, address: Address, path: &str) -> RequestBuilder {
        self.0.post(format!("http://{address}{path}"))
    }

    /// Starts a `PUT` request.
    pub fn put(&self, address: Address, path: &str) -> RequestBuilder {
        self.0.put(format!("http://{address}{path}"))
    }

    /// Posts JSON and reads the answer as JSON.
    pub fn exchange<A, B>(&self, address: Address, path: &str, body: &A) -> Result<B, SendError>
    where
        A: Serialize,
        B: DeserializeOwned,
    {
        let bytes = serde_json::to_vec(body).map_err(|error| SendError::Unsent(error.to_string()))?;
        read_json(send(self.post(address, path), &bytes)?)
    }
}

/// Sends a request; returns the answer if its status is a success or `304 Not Modified`.
pub(super) fn send(request: RequestBuilder, bytes: &[u8]) -> Result<Response, SendError> {
    let sent = Cell::new(false);
    let answer = request.body(TrackedBody { bytes, sent: &sent }).send();
    let answer = answer.map_err(|error| {
        if sent.get() {
            SendError::Lost(error.to_string())
        } else {
            SendError::Unsent(error.to_string())
        }
    })?;
    let status = answer.status();
    if status.is_success() || status == StatusCode::NOT_MODIFIED {
        return Ok(answer);
    }
    let body = read_bytes(answer, ERROR_BYTES_MAX)?;
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => Err(SendError::Refused(body)),
        Err(_) => Err(SendError::Lost(format!(
            "the answer has status {status} and no readable error body"
        ))),
    }
}

/// Reads an answer to its end; a truncated or oversized one counts as lost.
pub(super) fn read_all(answer: Response) -> Result<Vec<u8>, SendError> {
    read_bytes(answer, ANSWER_BYTES_MAX)
}

/// Reads an answer as JSON.
pub(super) fn read_json<B>(answer: Response) -> Result<B, SendError>
where
    B: DeserializeOwned,
{
    let bytes = read_all(answer)?;
    serde_json::from_slice(&bytes)
        .map_err(|error| SendError::Lost(format!("the answer is not valid JSON of the expected form: {error}")))
}

fn read_bytes(answer: Response, limit: u64) -> Result<Vec<u8>, SendError> {
    let length = answer.headers().get(CONTENT_LENGTH).cloned();
    let mut bytes = Vec::new();
    let mut reader = answer.split().2.take(limit + 1);
    reader
        .read_to_end(&mut bytes)
        .map_err(|error| SendError::Lost(error.to_string()))?;
    if bytes.len() as u64 > limit {
        return Err(SendError::Lost(format!("the answer is longer than {limit} bytes")));
    }
    // attohttpc takes the end of the connection as the end of the body, even if the body is shorter than its
    // `Content-Length`.
    let declared = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|declared| declared != bytes.len()) {
        return Err(SendError::Lost(
            "the answer is truncated: its length differs from Content-Length".to_owned(),
        ));
    }
    Ok(bytes)
}
