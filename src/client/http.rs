//! Requests.

use std::cell::Cell;
use std::io::Read;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use super::ClientError;
use crate::api::{ApiError, JobView, StatusView, TicketView};
use crate::name::JobId;
use crate::platform::Address;
use crate::platform::http::tracked_body::TrackedBody;
use crate::team::Catalog;
use crate::time::Millis;

/// Time to connect.
const CONNECT: Duration = Duration::from_secs(5);
/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// A client of one instance, or of the load balancer before them.
#[derive(Debug, Clone)]
pub struct Client {
    address: Address,
    timeout: Millis,
}

impl Client {
    /// A client that waits at most `timeout` for an answer, beyond the time of a long poll.
    pub fn new(address: Address, timeout: Millis) -> Self {
        Self { address, timeout }
    }

    /// Submits a job; for a call, returns when it has ended.
    pub fn submit(&self, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, ClientError> {
        let mut request = self.request(Method::PUT, &format!("/v1/jobs/{id}"), Millis::ZERO);
        if let Some(trace) = trace {
            request = self.header(request, trace)?;
        }
        self.exchange(request, body)
    }

    /// Looks a job up, waiting at most `wait` for its end.
    pub fn job(&self, id: &JobId, wait: Millis) -> Result<JobView, ClientError> {
        let path = format!("/v1/jobs/{id}?wait={}", wait.0 / 1000);
        self.exchange(self.request(Method::GET, &path, wait), &[])
    }

    /// Cancels a job.
    pub fn cancel(&self, id: &JobId) -> Result<JobView, ClientError> {
        self.exchange(
            self.request(Method::DELETE, &format!("/v1/jobs/{id}"), Millis::ZERO),
            &[],
        )
    }

    /// Sends a ticket; returns when it is in force everywhere.
    pub fn put_ticket(&self, number: u64, body: &[u8]) -> Result<TicketView, ClientError> {
        self.exchange(
            self.request(Method::PUT, &format!("/v1/tickets/{number}"), Millis::ZERO),
            body,
        )
    }

    /// Looks a ticket up.
    pub fn ticket(&self, number: u64) -> Result<TicketView, ClientError> {
        self.exchange(
            self.request(Method::GET, &format!("/v1/tickets/{number}"), Millis::ZERO),
            &[],
        )
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Result<Catalog, ClientError> {
        self.exchange(self.request(Method::GET, "/v1/config", Millis::ZERO), &[])
    }

    /// What the instance knows.
    pub fn status(&self) -> Result<StatusView, ClientError> {
        self.exchange(self.request(Method::GET, "/v1/status", Millis::ZERO), &[])
    }

    fn request(&self, method: Method, path: &str, wait: Millis) -> RequestBuilder {
        let time = self.timeout + wait;
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .connect_timeout(CONNECT)
            .read_timeout(time.duration())
            .timeout(CONNECT.saturating_add(time.duration()))
            // A redirect would repeat the request elsewhere, and a proxy could answer in the place of the instance.
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
    }

    fn header(&self, request: RequestBuilder, trace: &str) -> Result<RequestBuilder, ClientError> {
        request
            .try_header("traceparent", trace)
            .map_err(|e| self.unreached(&e.to_string()))
    }

    fn unreached(&self, reason: &str) -> ClientError {
        ClientError::Unreached {
            address: self.address,
            reason: reason.to_owned(),
        }
    }

    fn lost<E>(&self, reason: &E) -> ClientError
    where
        E: ToString + ?Sized,
    {
        ClientError::Lost {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn exchange<T>(&self, request: RequestBuilder, bytes: &[u8]) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let sent = Cell::new(false);
        let answer = match request.body(TrackedBody { bytes, sent: &sent }).send() {
            Ok(answer) => answer,
            Err(e) if sent.get() => return Err(self.lost(&e)),
            Err(e) => return Err(self.unreached(&e.to_string())),
        };
        let is_success = answer.status().is_success();
        let status = answer.status();
        let body = self.read(answer)?;
        if is_success {
            return serde_json::from_slice(&body).map_err(|e| self.lost(&e));
        }
        match serde_json::from_slice::<ApiError>(&body) {
            Ok(error) => Err(ClientError::Refused(error)),
            Err(_) => Err(self.lost(&format!("it answered with status {status}"))),
        }
    }

    fn read(&self, answer: Response) -> Result<Vec<u8>, ClientError> {
        let announced = answer.headers().get("content-length").cloned();
        let mut bytes = Vec::new();
        let mut reader = answer.split().2.take(ANSWER_BYTES_MAX + 1);
        reader.read_to_end(&mut bytes).map_err(|e| self.lost(&e))?;
        if bytes.len() as u64 > ANSWER_BYTES_MAX {
            return Err(self.lost(&format!("it is longer than {ANSWER_BYTES_MAX} bytes")));
        }
        // attohttpc takes the end of the connection for the end of the body, even before the announced length.
        let announced = announced.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        if announced.is_some_and(|length| length != bytes.len()) {
            return Err(self.lost("it was cut"));
        }
        Ok(bytes)
    }
}
