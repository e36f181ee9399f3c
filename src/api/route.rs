//! Routes of the API.

use std::borrow::Cow;

use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;

use super::{ApiError, Code};
use crate::name::JobId;
use crate::time::Millis;

/// Longest wait of a long poll, in seconds.
pub const WAIT_SECONDS_MAX: u64 = 60;

/// Operation that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Submit a job.
    Submit(JobId),
    /// Look up a job; wait at most so long for its end.
    Job(JobId, Millis),
    /// Cancel a job.
    Cancel(JobId),
    /// Apply a ticket.
    PutTicket(u64),
    /// Look up a ticket.
    Ticket(u64),
    /// Return the configuration in force.
    Config,
    /// Return the status of the instance.
    Status,
    /// Liveness check.
    Health,
    /// Readiness check: whether the instance accepts new requests.
    Ready,
    /// Return the metrics.
    Metrics,
}

impl Route {
    /// Determines the route of a request from its head.
    pub(super) fn of_head(head: &Parts) -> Result<Self, ApiError> {
        let query = head.uri.query().unwrap_or_default();
        let wait = query.split('&').find_map(|pair| pair.strip_prefix("wait="));
        let path = decode(head.uri.path());
        Self::parse(head.method.as_str(), &path, wait.map(decode).as_deref())
    }

    /// Determines the route of a request; `wait` is the value of that query parameter.
    pub fn parse(method: &str, path: &str, wait: Option<&str>) -> Result<Self, ApiError> {
        let mut segments = path.trim_start_matches('/').split('/');
        let segments = (
            segments.next().unwrap_or_default(),
            segments.next(),
            segments.next(),
            segments.next(),
        );
        match (method, segments) {
            ("PUT", ("v1", Some("jobs"), Some(id), None)) => Ok(Self::Submit(parse_job_id(id)?)),
            ("GET", ("v1", Some("jobs"), Some(id), None)) => Ok(Self::Job(parse_job_id(id)?, parse_wait(wait)?)),
            ("DELETE", ("v1", Some("jobs"), Some(id), None)) => Ok(Self::Cancel(parse_job_id(id)?)),
            ("PUT", ("v1", Some("tickets"), Some(number), None)) => Ok(Self::PutTicket(parse_ticket_number(number)?)),
            ("GET", ("v1", Some("tickets"), Some(number), None)) => Ok(Self::Ticket(parse_ticket_number(number)?)),
            ("GET", ("v1", Some("config"), None, None)) => Ok(Self::Config),
            ("GET", ("v1", Some("status"), None, None)) => Ok(Self::Status),
            ("GET", ("healthz", None, None, None)) => Ok(Self::Health),
            ("GET", ("readyz", None, None, None)) => Ok(Self::Ready),
            ("GET", ("metrics", None, None, None)) => Ok(Self::Metrics),
            _ => Err(ApiError::new(
                Code::NotFound,
                format!(
                    "There is no {method} {}. The paths are listed in the README.",
                    excerpt(path)
                ),
            )),
        }
    }

    /// Name of the route in metrics and spans.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Job(..) => "job",
            Self::Cancel(_) => "cancel",
            Self::PutTicket(_) => "put_ticket",
            Self::Ticket(_) => "ticket",
            Self::Config => "config",
            Self::Status => "status",
            Self::Health => "healthz",
            Self::Ready => "readyz",
            Self::Metrics => "metrics",
        }
    }

    /// Whether the route is answered from memory, even by a server that is draining or full.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Health | Self::Ready | Self::Metrics | Self::Status)
    }

    /// Whether the request has a body, which describes the job or ticket.
    pub fn has_body(&self) -> bool {
        matches!(self, Self::Submit(_) | Self::PutTicket(_))
    }
}

fn decode(text: &str) -> Cow<'_, str> {
    percent_decode_str(text).decode_utf8_lossy()
}

/// Start of a text for an error message, so that a hostile one cannot fill the response and the log.
fn excerpt(path: &str) -> String {
    path.chars().filter(|c| !c.is_control()).take(100).collect()
}

fn parse_job_id(text: &str) -> Result<JobId, ApiError> {
    JobId::new(text).map_err(|e| ApiError::new(Code::BadRequest, format!("The job id is not valid: {e}.")))
}

fn parse_ticket_number(text: &str) -> Result<u64, ApiError> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(ApiError::new(
            Code::BadRequest,
            format!("A ticket number is a whole number from 1, not `{}`.", excerpt(text)),
        )),
    }
}

fn parse_wait(text: Option<&str>) -> Result<Millis, ApiError> {
    let Some(text) = text else {
        return Ok(Millis::ZERO);
    };
    match text.parse() {
        Ok(count) if count <= WAIT_SECONDS_MAX => Ok(Millis::from_secs(count)),
        _ => Err(ApiError::new(
            Code::BadRequest,
            format!("`wait` is a whole number of seconds, 0 to {WAIT_SECONDS_MAX}."),
        )),
    }
}
