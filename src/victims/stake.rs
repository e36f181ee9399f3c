//! What callers lose when a unit is stopped.

/// Share of the loss that counts if the job still ends in time: the work is done again, but its caller does not notice.
const UNNOTICED_SHARE: f64 = 0.3;

/// What is at stake if a unit is stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stake {
    /// Core equivalents of all its tasks.
    pub cores: f64,
    /// Work that it would have to do again, in milliseconds.
    pub lost_ms: u64,
    /// Time that it would wait for its next start, in milliseconds.
    pub wait_ms: u64,
    /// Number of times that it has been stopped.
    pub stops: u32,
    /// Whether its job would still end in time.
    pub in_time: bool,
}

impl Stake {
    /// Loss in core-seconds. It grows with each stop, so that no unit is stopped for ever.
    pub fn loss(&self) -> f64 {
        let lost_s = (self.lost_ms + self.wait_ms) as f64 / 1_000.0;
        let share = if self.in_time { UNNOTICED_SHARE } else { 1.0 };
        lost_s * self.cores * share * f64::from(1 + self.stops)
    }
}
