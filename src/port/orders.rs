//! Orders to endpoints.

use std::sync::Arc;
use std::time::Duration;

use super::{Advice, AdviceQuery, OrderError, Report, StartOrder};

/// Life of an endpoint that an order is meant for.
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

/// Order to renew the lease of all that runs on an endpoint, and to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Ends up to this number may be forgotten.
    pub seen: u64,
    /// End of the lease on the clock of the endpoint, in milliseconds; `None` leaves it as it is.
    pub lease_end: Option<u64>,
    /// How long the endpoint may wait for an end before it answers.
    pub wait: Duration,
}

/// Sends orders; one call is one attempt.
pub trait Orders: Clone + 'static {
    /// Starts a task; returns the clock of the endpoint, in milliseconds.
    fn start(&self, target: &Target, order: &StartOrder) -> impl Future<Output = Result<u64, OrderError>>;

    /// Stops a run; returns the clock of the endpoint, in milliseconds.
    fn stop(&self, target: &Target, order: &StopOrder) -> impl Future<Output = Result<u64, OrderError>>;

    /// Asks the advice service where a step may run, with a limit on the time of the answer.
    fn advise(&self, question: &AdviceQuery, limit: Duration) -> impl Future<Output = Result<Advice, OrderError>>;

    /// Renews leases and reads what runs and what has ended.
    fn hold(&self, target: &Target, order: &HoldOrder) -> impl Future<Output = Result<Report, OrderError>>;
}
