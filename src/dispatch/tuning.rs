//! Tuning parameters of the dispatcher.

use crate::evacuation::Evacuations;

/// Time for the reports, the commit and the starts of a claim, in milliseconds; the stops are added to it.
const CLAIM_OVERHEAD_MS: u64 = 700;

/// Successive stops that an evacuation allows time for: one that fails, and one more.
const SEQUENTIAL_STOPS: u64 = 2;

/// Time beyond that of a stop after which a victim of a claim counts as one that does not stop, in milliseconds: the order,
/// the hold that reports the end, and turns of a busy leader.
const CLAIM_STOP_SLACK_MS: u64 = 400;

/// Timeouts, limits and weights of the dispatcher. The platform settings override some of the defaults.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Longest lease that endpoints grant, in milliseconds; from the platform settings.
    pub lease_ms: u64,
    /// Lease granted by a start order, in milliseconds; the next hold extends it. A start without an answer stays in
    /// doubt for this long.
    pub start_lease_ms: u64,
    /// Fraction by which the clock of an endpoint may run slow, as bounded by the platform.
    pub clock_drift: f64,
    /// How long a former leader may keep renewing leases after its last stored renewal, in milliseconds.
    pub leader_lease_ms: u64,
    /// Longest time that an endpoint may delay its answer to a hold, in milliseconds; bounds the age of progress
    /// figures.
    pub hold_wait_ms: u64,
    /// Time after which an unanswered order is resent, in milliseconds.
    pub resend_ms: u64,
    /// Most attempts to send the start of one run to an endpoint that does not answer.
    pub start_tries_max: u32,
    /// Number of distinct jobs failing in a row on an endpoint that puts it into quarantine.
    pub quarantine_after_jobs: usize,
    /// First quarantine of an endpoint, in milliseconds; each further one is twice as long.
    pub quarantine_ms: u64,
    /// Longest quarantine, in milliseconds.
    pub quarantine_max_ms: u64,
    /// How long an endpoint that refuses starts or cannot be reached gets no new ones, in milliseconds.
    pub start_backoff_ms: u64,
    /// Pause before an endpoint without runs is asked again after an unanswered hold, in milliseconds; each further one is
    /// twice as long.
    pub probe_pause_ms: u64,
    /// Longest such pause, in milliseconds. Users allow at most 3 s of waiting beside endpoints that are well.
    pub probe_pause_max_ms: u64,
    /// How long an endpoint gets no new work when it answers again after its second silence without a successful run
    /// between, in milliseconds; each further pause is twice as long.
    pub reopen_pause_ms: u64,
    /// Longest such pause, in milliseconds.
    pub reopen_pause_max_ms: u64,
    /// Number of consecutive unanswered holds after which leases are no longer renewed.
    pub missed_holds_max: u32,
    /// How long a unit waits for its preferred endpoints in a pool that is half idle, in milliseconds. Users allow at
    /// most 3 s of waiting while twice the needed resources are free.
    pub idle_pool_wait_ms: u64,
    /// Least time between two starts of a lasting task on endpoints on which it has failed, in milliseconds. Users allow at
    /// most 6 s without it.
    pub lasting_restart_ms: u64,
    /// How long a run may report no progress before it is stopped and placed again, in milliseconds.
    pub stall_ms: u64,
    /// Time that a run with checkpoints loses when it is stopped and resumed, in milliseconds; from the platform settings.
    pub resume_loss_ms: u64,
    /// Time within which a guarantee has to be met, in milliseconds; from the platform settings.
    pub reclaim_ms: u64,
    /// Time that an evacuation needs before the endpoint leaves, in milliseconds: stopping its units, their reports, a
    /// commit and the start orders.
    pub claim_to_start_ms: u64,
    /// Time before the bound of a guarantee from which a claim is made at any cost, in milliseconds: one claim whose victims
    /// do not stop, and another one.
    pub reclaim_lead_ms: u64,
    /// Work that a claim may destroy, as a fraction of the work of the claiming unit.
    pub claim_cost_share: f64,
    /// Increase of `claim_cost_share` over the first second of waiting.
    pub claim_cost_share_rise: f64,
    /// How long a claim waits for its victims to stop before it is dropped, in milliseconds.
    pub claim_timeout_ms: u64,
    /// Age of the knowledge of closed failure domains from which no starts are sent, in milliseconds; from the platform
    /// settings, `None` on a site without evacuations.
    pub evacuation_stale_ms: Option<u64>,
    /// Most blocked gangs that hold a reservation at the same time.
    pub reservations_max: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            start_lease_ms: 3_000,
            clock_drift: 0.02,
            leader_lease_ms: 8_000,
            hold_wait_ms: 1_000,
            resend_ms: 700,
            start_tries_max: 3,
            quarantine_after_jobs: 2,
            quarantine_ms: 3_000,
            quarantine_max_ms: 24_000,
            start_backoff_ms: 1_000,
            probe_pause_ms: 300,
            probe_pause_max_ms: 1_600,
            reopen_pause_ms: 250,
            reopen_pause_max_ms: 1_000,
            missed_holds_max: 6,
            idle_pool_wait_ms: 1_500,
            lasting_restart_ms: 1_500,
            stall_ms: 2_500,
            resume_loss_ms: 300,
            reclaim_ms: 2_700,
            claim_to_start_ms: 1_100,
            reclaim_lead_ms: 1_800,
            claim_cost_share: 1.0,
            claim_cost_share_rise: 3.0,
            claim_timeout_ms: 900,
            evacuation_stale_ms: None,
            reservations_max: 2,
        }
    }
}

impl Tuning {
    /// Pause after a further unanswered hold of an endpoint that has missed `missed_holds` before, in milliseconds.
    pub(super) fn probe_pause_ms(&self, missed_holds: u32) -> u64 {
        let factor = 1_u64.checked_shl(missed_holds).unwrap_or(u64::MAX);
        self.probe_pause_ms.saturating_mul(factor).min(self.probe_pause_max_ms)
    }

    /// Pause after the next silence, if the last one was followed by a pause of `pause_ms`.
    pub(super) fn next_reopen_pause_ms(&self, pause_ms: u64) -> u64 {
        (pause_ms * 2).clamp(self.reopen_pause_ms, self.reopen_pause_max_ms)
    }

    /// Sets the times of claims for endpoints on which a stop takes up to `stop_ms`.
    #[must_use]
    pub fn with_stop_time(self, stop_ms: u64) -> Self {
        let claim_timeout_ms = stop_ms + CLAIM_STOP_SLACK_MS;
        Self {
            claim_to_start_ms: CLAIM_OVERHEAD_MS + SEQUENTIAL_STOPS * stop_ms,
            claim_timeout_ms,
            reclaim_lead_ms: claim_timeout_ms + CLAIM_OVERHEAD_MS + stop_ms,
            ..self
        }
    }

    /// Sets the time in which a request to close a failure domain has to take effect; `None` on a site without
    /// evacuations.
    #[must_use]
    pub fn with_evacuation_bound(self, bound_ms: Option<f64>) -> Self {
        Self {
            evacuation_stale_ms: bound_ms.map(Evacuations::stale_after_ms),
            ..self
        }
    }
}
