//! What is known of one endpoint's reachability.

use crate::name::JobId;
use crate::platform::Address;
use crate::time::Millis;

/// Lease of a task.
pub(super) const TASK_LEASE: Millis = Millis::from_secs(30);
/// Margin for drift between an endpoint's clock and ours.
const LEASE_MARGIN: Millis = Millis::from_secs(3);
/// Silence after which an endpoint counts as down.
const DOWN_AFTER: Millis = Millis::from_secs(3);
/// Time between two renewals of an endpoint's task leases: three tries fit into a lease of 30 s.
const RENEW_EVERY: Millis = Millis::from_secs(8);
/// Shortest and longest pause after a failed request.
const PAUSE_MIN: Millis = Millis(200);
const PAUSE_MAX: Millis = Millis::from_secs(5);

/// An endpoint as the planner sees it over the network.
#[derive(Debug, Clone)]
pub(super) struct Contact {
    pub address: Address,
    /// Boot last reported.
    pub boot: Option<u64>,
    /// Whether a request is under way.
    pub busy: bool,
    /// Last answer.
    pub heard: Option<Millis>,
    /// Last report.
    pub reported: Option<Millis>,
    /// Ended attempts that the endpoint may forget: job, attempt, member.
    pub forget: Vec<(JobId, u32, u16)>,
    /// Last renewal that the endpoint may have got.
    renewed: Millis,
    /// First failure since the last answer.
    failing: Option<Millis>,
    pause: Millis,
    retry_at: Millis,
}

impl Contact {
    /// An endpoint not heard of yet. Another planner may have renewed its leases until `renewed`.
    pub fn new(address: Address, renewed: Millis) -> Self {
        Self {
            address,
            boot: None,
            busy: false,
            heard: None,
            reported: None,
            forget: Vec::new(),
            renewed,
            failing: None,
            pause: PAUSE_MIN,
            retry_at: Millis::ZERO,
        }
    }

    /// Whether it has been silent for so long that it gets no new work.
    pub fn is_down(&self, now: Millis) -> bool {
        self.failing.is_some_and(|since| now.since(since) >= DOWN_AFTER)
    }

    /// Whether every task lease has lapsed on it by now.
    pub fn has_lapsed(&self, now: Millis) -> bool {
        self.is_down(now) && now >= self.renewed + TASK_LEASE + LEASE_MARGIN
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Millis) -> bool {
        !self.busy && now >= self.retry_at
    }

    /// Whether its task leases are due for renewal. A failing endpoint gets none, so that its leases lapse.
    pub fn renewal_due(&self, now: Millis) -> bool {
        self.failing.is_none() && now >= self.renewed + RENEW_EVERY
    }

    /// Notes that a renewal is being sent.
    pub fn renewal_sent(&mut self, now: Millis) {
        self.renewed = self.renewed.max(now);
    }

    /// Whether commands may carry a renewal.
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Millis) {
        self.busy = false;
        self.heard = Some(now);
        self.failing = None;
        self.pause = PAUSE_MIN;
        self.retry_at = Millis::ZERO;
    }

    /// Notes a failed request.
    pub fn failed(&mut self, now: Millis) {
        self.busy = false;
        self.failing.get_or_insert(now);
        self.retry_at = now + self.pause;
        self.pause = Millis(self.pause.0 * 2).min(PAUSE_MAX);
    }
}
