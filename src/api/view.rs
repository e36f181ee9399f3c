//! Bodies of answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::Outcome;
use crate::name::{EndpointName, InstanceName, JobId, PoolName, TeamName};
use crate::row::TicketState;

/// Where a job stands, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; waits for a place.
    Queued,
    /// Has a place and is about to start.
    Starting,
    /// Runs.
    Running,
    /// Is being ended on its caller's wish.
    Cancelling,
    /// Over; see the outcome.
    Ended,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub id: JobId,
    /// Where it stands.
    pub state: JobState,
    /// How it ended, or that this is in doubt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Number of the current attempt.
    pub attempt: u32,
    /// Pool that plans it; `None` for a call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
    /// Endpoints that hold it.
    #[serde(rename = "workers", default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointName>,
    /// W3C `traceparent` of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
}

/// A ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketView {
    /// Its number.
    pub number: u64,
    /// Pending or accepted.
    pub state: TicketState,
    /// Whether this request found it already done.
    pub repeated: bool,
}

/// What an operator sees of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The instance.
    pub instance: InstanceName,
    /// Ticket in force here.
    pub ticket: u64,
    /// Whether its session is live.
    pub session: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Live instances that it knows.
    pub instances: Vec<InstanceName>,
    /// Pools and the instance that plans each.
    pub pools: BTreeMap<PoolName, Option<InstanceName>>,
    /// Jobs that wait here, by pool that this instance plans.
    pub waiting: BTreeMap<PoolName, usize>,
    /// Teams whose guarantee cannot be met in full now, with the shortfall.
    pub at_risk: BTreeMap<TeamName, String>,
    /// Endpoints in quarantine, with the reason.
    pub quarantine: BTreeMap<EndpointName, String>,
}
