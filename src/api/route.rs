//! Routes.

use super::{ApiError, Code};
use crate::name::JobId;
use crate::time::Millis;

/// Longest long poll, in seconds.
pub const WAIT_SECONDS_MAX: u64 = 60;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Submit a job.
    Submit(JobId),
    /// Look a job up.
    Job(JobId, Millis),
    /// Cancel a job.
    Cancel(JobId),
    /// Send a ticket.
    PutTicket(u64),
    /// Look a ticket up.
    Ticket(u64),
    /// Configuration in force.
    Config,
    /// What the instance knows.
    Status,
    /// Whether the process answers.
    Health,
    /// Whether new requests are welcome.
    Ready,
    /// Metrics.
    Metrics,
}

impl Route {
    /// The route of a request; `wait` is the value of that query parameter.
    pub fn parse(method: &str, path: &str, wait: Option<&str>) -> Result<Self, ApiError> {
        let mut parts = path.trim_start_matches('/').split('/');
        let parts = (
            parts.next().unwrap_or_default(),
            parts.next(),
            parts.next(),
            parts.next(),
        );
        match (method, parts) {
            ("PUT", ("v1", Some("jobs"), Some(id), None)) => Ok(Self::Submit(job_id(id)?)),
            ("GET", ("v1", Some("jobs"), Some(id), None)) => Ok(Self::Job(job_id(id)?, seconds(wait)?)),
            ("DELETE", ("v1", Some("jobs"), Some(id), None)) => Ok(Self::Cancel(job_id(id)?)),
            ("PUT", ("v1", Some("tickets"), Some(number), None)) => Ok(Self::PutTicket(ticket(number)?)),
            ("GET", ("v1", Some("tickets"), Some(number), None)) => Ok(Self::Ticket(ticket(number)?)),
            ("GET", ("v1", Some("config"), None, None)) => Ok(Self::Config),
            ("GET", ("v1", Some("status"), None, None)) => Ok(Self::Status),
            ("GET", ("healthz", None, None, None)) => Ok(Self::Health),
            ("GET", ("readyz", None, None, None)) => Ok(Self::Ready),
            ("GET", ("metrics", None, None, None)) => Ok(Self::Metrics),
            _ => Err(ApiError::new(
                Code::NotFound,
                format!(
                    "There is no {method} {}. The paths are listed in the README.",
                    shown(path)
                ),
            )),
        }
    }

    /// Name for metrics and spans.
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

    /// Whether the route is answered from memory, even by a server that is stopping or full.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Health | Self::Ready | Self::Metrics | Self::Status)
    }

    /// Whether the route asks for something to be done, and has a body that says what.
    pub fn has_body(&self) -> bool {
        matches!(self, Self::Submit(_) | Self::PutTicket(_))
    }
}

/// A path as repeated in an error, cut so that a hostile one does not fill the answer and the log.
fn shown(path: &str) -> String {
    path.chars().filter(|c| !c.is_control()).take(100).collect()
}

fn job_id(text: &str) -> Result<JobId, ApiError> {
    JobId::new(text).map_err(|e| ApiError::new(Code::BadRequest, format!("The job id is not valid: {e}.")))
}

fn ticket(text: &str) -> Result<u64, ApiError> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(ApiError::new(
            Code::BadRequest,
            format!("A ticket number is a whole number from 1, not `{}`.", shown(text)),
        )),
    }
}

fn seconds(text: Option<&str>) -> Result<Millis, ApiError> {
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
