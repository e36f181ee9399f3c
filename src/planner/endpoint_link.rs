//! Reachability and request state of one endpoint.

use crate::name::JobId;
use crate::platform::Address;
use crate::time::Millis;

/// Length of a task lease.
pub(super) const TASK_LEASE: Millis = Millis::from_secs(30);
/// Margin for drift between an endpoint's clock and the local one.
const LEASE_MARGIN: Millis = Millis::from_secs(3);
/// Time without an answer after which an endpoint counts as down.
const DOWN_AFTER: Millis = Millis::from_secs(3);
/// Interval of lease renewals to an endpoint: three tries fit into a lease of 30 s.
const RENEW_EVERY: Millis = Millis::from_secs(8);
/// Shortest backoff after a failed request.
const BACKOFF_MIN: Millis = Millis(200);
/// Longest backoff after a failed request.
const BACKOFF_MAX: Millis = Millis::from_secs(5);

/// Connection state of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointLink {
    pub address: Address,
    /// Boot that the endpoint last reported.
    pub boot: Option<u64>,
    /// Whether a request is in flight.
    pub in_flight: bool,
    /// Time of the last answer.
    pub answered_at: Option<Millis>,
    /// Time of the last report.
    pub reported_at: Option<Millis>,
    /// Ended tasks that the endpoint is told to forget: job, attempt, member.
    pub tasks_to_forget: Vec<(JobId, u32, u16)>,
    /// Time of the last lease renewal that the endpoint may have received.
    renewed_at: Millis,
    /// Time of the first failure since the last answer.
    failing_since: Option<Millis>,
    backoff: Millis,
    retry_at: Millis,
}

impl EndpointLink {
    /// An endpoint that has not answered yet. Another planner may have renewed its leases until `renewed_at`.
    pub fn new(address: Address, renewed_at: Millis) -> Self {
        Self {
            address,
            boot: None,
            in_flight: false,
            answered_at: None,
            reported_at: None,
            tasks_to_forget: Vec::new(),
            renewed_at,
            failing_since: None,
            backoff: BACKOFF_MIN,
            retry_at: Millis::ZERO,
        }
    }

    /// Whether it has not answered for so long that it gets no new work.
    pub fn is_down(&self, now: Millis) -> bool {
        self.failing_since.is_some_and(|since| now.since(since) >= DOWN_AFTER)
    }

    /// Whether every task lease on it has lapsed.
    pub fn has_lapsed(&self, now: Millis) -> bool {
        self.is_down(now) && now >= self.renewed_at + TASK_LEASE + LEASE_MARGIN
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.retry_at
    }

    /// Whether its task leases are due for renewal. A failing endpoint gets none, so that its leases lapse.
    pub fn renewal_due(&self, now: Millis) -> bool {
        self.failing_since.is_none() && now >= self.renewed_at + RENEW_EVERY
    }

    /// Records that a renewal is being sent.
    pub fn record_renewal(&mut self, now: Millis) {
        self.renewed_at = self.renewed_at.max(now);
    }

    /// Whether requests have failed since the last answer.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Millis) {
        self.in_flight = false;
        self.answered_at = Some(now);
        self.failing_since = None;
        self.backoff = BACKOFF_MIN;
        self.retry_at = Millis::ZERO;
    }

    /// Records a failed request and extends the backoff.
    pub fn record_failure(&mut self, now: Millis) {
        self.in_flight = false;
        self.failing_since.get_or_insert(now);
        self.retry_at = now + self.backoff;
        self.backoff = Millis(self.backoff.0 * 2).min(BACKOFF_MAX);
    }
}
