//! Requests to an instance.

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

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response.
const RESPONSE_BYTES_MAX: u64 = 64 << 20;

/// Client of one instance, or of the load balancer in front of the instances.
#[derive(Debug, Clone)]
pub struct Client {
    address: Address,
    timeout: Millis,
}

impl Client {
    /// Creates a client that waits at most `timeout` for a response, plus the wait of a long poll.
    pub fn new(address: Address, timeout: Millis) -> Self {
        Self { address, timeout }
    }

    /// Submits a job; for a call, returns when it has ended.
    pub fn submit(&self, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, ClientError> {
        let mut request = self.request(Method::PUT, &format!("/v1/jobs/{id}"), Millis::ZERO);
        if let Some(trace) = trace {
            request = self.with_traceparent(request, trace)?;
        }
        self.exchange(request, body)
    }

    /// Looks up a job and waits at most `wait` for its end.
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

    /// Applies a ticket; returns when it is in force on all instances.
    pub fn put_ticket(&self, number: u64, body: &[u8]) -> Result<TicketView, ClientError> {
        self.exchange(
            self.request(Method::PUT, &format!("/v1/tickets/{number}"), Millis::ZERO),
            body,
        )
    }

    /// Looks up a ticket.
    pub fn ticket(&self, number: u64) -> Result<TicketView, ClientError> {
        self.exchange(
            self.request(Method::GET, &format!("/v1/tickets/{number}"), Millis::ZERO),
            &[],
        )
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Result<Catalog, ClientError> {
        self.exchange(self.request(Method::GET, "/v1/config", Millis::ZERO), &[])
    }

    /// Returns the status of the instance.
    pub fn status(&self) -> Result<StatusView, ClientError> {
        self.exchange(self.request(Method::GET, "/v1/status", Millis::ZERO), &[])
    }

    fn request(&self, method: Method, path: &str, wait: Millis) -> RequestBuilder {
        let response_timeout = self.timeout + wait;
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(response_timeout.duration())
            .timeout(CONNECT_TIMEOUT.saturating_add(response_timeout.duration()))
            // A redirect would repeat the request at another server, and a proxy could respond instead of the instance.
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
    }

    fn with_traceparent(&self, request: RequestBuilder, trace: &str) -> Result<RequestBuilder, ClientError> {
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
        let response = match request.body(TrackedBody { bytes, sent: &sent }).send() {
            Ok(response) => response,
            Err(e) if sent.get() => return Err(self.lost(&e)),
            Err(e) => return Err(self.unreached(&e.to_string())),
        };
        let is_success = response.status().is_success();
        let status = response.status();
        let body = self.read_body(response)?;
        if is_success {
            return serde_json::from_slice(&body).map_err(|e| self.lost(&e));
        }
        match serde_json::from_slice::<ApiError>(&body) {
            Ok(error) => Err(ClientError::Refused(error)),
            Err(_) => Err(self.lost(&format!("the status is {status}, but the body is not an API error"))),
        }
    }

    fn read_body(&self, response: Response) -> Result<Vec<u8>, ClientError> {
        let content_length = response.headers().get("content-length").cloned();
        let mut bytes = Vec::new();
        let mut reader = response.split().2.take(RESPONSE_BYTES_MAX + 1);
        reader.read_to_end(&mut bytes).map_err(|e| self.lost(&e))?;
        if bytes.len() as u64 > RESPONSE_BYTES_MAX {
            return Err(self.lost(&format!("the response is larger than {RESPONSE_BYTES_MAX} bytes")));
        }
        // attohttpc takes the end of the connection for the end of the body, even if it comes before the announced
        // length.
        let content_length = content_length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        if content_length.is_some_and(|length| length != bytes.len()) {
            return Err(self.lost("the size of the response differs from its Content-Length"));
        }
        Ok(bytes)
    }
}
