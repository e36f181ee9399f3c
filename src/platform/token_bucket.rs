//! Token bucket.

use crate::time::Millis;

/// Fraction of the share that the bucket holds. Only the rest of the share refills it per second, so that a second that
/// begins with a full bucket does not exceed the share either.
const BURST_SHARE: f64 = 0.25;
/// Smallest capacity, in tokens: each of the four reserve levels needs one token that the next lower level cannot take.
const BURST_TOKENS_MIN: f64 = 4.0;
/// Smallest fraction of the share that refills the bucket per second. Applies to small shares, of which
/// [`BURST_TOKENS_MIN`] leaves too little.
const REFILL_SHARE_MIN: f64 = 0.5;

/// Token bucket with reserves for requests of higher priority.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    refill_per_s: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket for a share, in tokens per second.
    pub fn new(share: f64, now: Millis) -> Self {
        let mut bucket = Self {
            tokens: f64::INFINITY,
            capacity: f64::INFINITY,
            refill_per_s: 0.0,
            refilled_at: now,
        };
        bucket.set_share(share, now);
        bucket
    }

    /// Changes the share; tokens above the new capacity are discarded.
    pub fn set_share(&mut self, share: f64, now: Millis) {
        self.refill(now);
        self.capacity = (share * BURST_SHARE).max(BURST_TOKENS_MIN);
        self.refill_per_s = (share - self.capacity).max(share * REFILL_SHARE_MIN);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes a token unless that cuts into the reserve: `reserved_share` of the capacity plus `reserved_tokens`.
    pub fn try_take(&mut self, reserved_share: f64, reserved_tokens: f64, now: Millis) -> bool {
        self.refill(now);
        if self.tokens - 1.0 < self.capacity * reserved_share + reserved_tokens {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Millis) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.refill_per_s;
        self.tokens = (self.tokens + added).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
