//! Orders to endpoints.

use std::sync::Arc;
use std::time::Duration;

use super::{Advice, AdviceQuery, OrderError, Report, StartOrder};

/// Endpoint that an order is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Address, `host:port`.
    pub address: Arc<str>,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// Fencing token of the leader.
    pub fence: u64,
}

/// Order to renew the lease of all runs on an endpoint and to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number up to which the endpoint may forget ends.
    pub seen: u64,
    /// End of the lease on the clock of the endpoint, in milliseconds; `None` leaves it unchanged.
    pub lease_end: Option<u64>,
    /// Longest time that the endpoint may wait for an end before it answers.
    pub wait: Duration,
}

/// Sends orders to endpoints; each call makes one attempt.
pub trait Orders: Clone + 'static {
    /// Starts a task; returns the clock of the endpoint, in milliseconds.
    fn start(&self, target: &Target, order: &StartOrder) -> impl Future<Output = Result<u64, OrderError>>;

    /// Stops a run; returns the clock of the endpoint, in milliseconds.
    fn stop(&self, target: &Target, order: &StopOrder) -> impl Future<Output = Result<u64, OrderError>>;

    /// Asks the advice service which endpoints may run a step.
    fn advise(&self, query: &AdviceQuery, timeout: Duration) -> impl Future<Output = Result<Advice, OrderError>>;

    /// Renews leases and fetches the report of the endpoint.
    fn hold(&self, target: &Target, order: &HoldOrder) -> impl Future<Output = Result<Report, OrderError>>;
}
