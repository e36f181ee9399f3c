//! Times and weights of the dispatcher.

/// Times and weights of the dispatcher; the bounds come from the site.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Longest lease that endpoints grant, in milliseconds; from the site.
    pub lease_ms: u64,
    /// Lease of a start, in milliseconds. A start without an answer is in doubt for that long; the next hold extends it.
    pub start_lease_ms: u64,
    /// Share by which the clock of an endpoint may be slow; from the site.
    pub clock_drift: f64,
    /// How long a former leader may go on renewing leases, in milliseconds.
    pub leader_lease_ms: u64,
    /// Longest wait of a hold, in milliseconds; bounds the age of progress figures.
    pub hold_wait_ms: u64,
    /// Time after which an unanswered order is sent again, in milliseconds.
    pub resend_ms: u64,
    /// Starts of one run that are tried on an endpoint that does not answer.
    pub start_tries_max: u32,
    /// Distinct jobs that fail in a row on an endpoint before it is quarantined.
    pub quarantine_after_jobs: usize,
    /// First quarantine of an endpoint, in milliseconds; doubles each time.
    pub quarantine_ms: u64,
    /// Longest quarantine, in milliseconds.
    pub quarantine_max_ms: u64,
    /// How long an endpoint that refuses starts or can't be reached gets none, in milliseconds.
    pub start_backoff_ms: u64,
    /// Holds without an answer in a row after which leases are no longer renewed.
    pub missed_holds_max: u32,
    /// How long a unit waits for the right endpoints in a pool that is half idle, in milliseconds. The users' bound for work
    /// that waits beside twice the room that it needs is 3 s.
    pub idle_pool_wait_ms: u64,
    /// How long a run may show no progress before it is moved, in milliseconds.
    pub stall_ms: u64,
    /// Work that a run with checkpoints loses when it is stopped and resumed, in milliseconds.
    pub resume_loss_ms: u64,
    /// Time in which a guarantee has to be met, in milliseconds; from the site.
    pub reclaim_ms: u64,
    /// Time from a claim to the start of what claims, in milliseconds: the stop of its victims, their reports, a commit
    /// and the starts.
    pub claim_to_start_ms: u64,
    /// Work that may be lost to a claim, as a share of the work of what claims.
    pub claim_cost_share: f64,
    /// What is added to that share over the first second of waiting.
    pub claim_cost_share_rise: f64,
    /// How long reserved room waits for its preempted holders, in milliseconds.
    pub claim_timeout_ms: u64,
    /// Blocked gangs for which room is kept free at the same time.
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
            missed_holds_max: 6,
            idle_pool_wait_ms: 1_500,
            stall_ms: 2_500,
            resume_loss_ms: 300,
            reclaim_ms: 2_700,
            claim_to_start_ms: 1_100,
            claim_cost_share: 1.0,
            claim_cost_share_rise: 3.0,
            claim_timeout_ms: 900,
            reservations_max: 2,
        }
    }
}
