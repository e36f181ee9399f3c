//! Response bodies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::Outcome;
use crate::name::{EndpointName, InstanceName, JobId, PoolName, TeamName};
use crate::row::TicketState;

/// State of a job for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; waits for a placement.
    Queued,
    /// Placed; about to start.
    Starting,
    /// Running.
    Running,
    /// A caller cancelled it; it has not ended yet.
    Cancelling,
    /// Ended, with an outcome.
    Ended,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: JobId,
    /// State of the job.
    pub state: JobState,
    /// How the job ended, or that this is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Number of the current attempt.
    pub attempt: u32,
    /// Pool that the job belongs to; `None` for a call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
    /// Endpoints that the job is placed on.
    #[serde(rename = "workers", default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointName>,
    /// W3C `traceparent` of the request that submitted the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
}

/// State of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketView {
    /// Number of the ticket.
    pub number: u64,
    /// Pending or accepted.
    pub state: TicketState,
    /// Whether the ticket was already applied before this request.
    pub repeated: bool,
}

/// Status of one instance, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Number of the ticket in force on this instance.
    pub ticket: u64,
    /// Whether the instance's session is live.
    pub session: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// Live instances known to this one.
    pub instances: Vec<InstanceName>,
    /// Instance that plans each pool; `None` if none is known.
    pub pools: BTreeMap<PoolName, Option<InstanceName>>,
    /// Number of waiting jobs, for each pool that this instance plans.
    pub waiting: BTreeMap<PoolName, usize>,
    /// Teams whose guarantee cannot be met in full at present, with the shortfall.
    pub at_risk: BTreeMap<TeamName, String>,
    /// Quarantined endpoints, with the reason.
    pub quarantine: BTreeMap<EndpointName, String>,
}
