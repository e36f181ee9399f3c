//! Token bucket.

use crate::time::Millis;

/// Part of a share that may be used at once. The bucket is refilled with the rest, so that no second sees more than
/// the share, not even one that begins with a full bucket.
const BURST_SHARE: f64 = 0.25;
/// Smallest bucket, in tokens. Each of the four reserves needs a token that the next lower one cannot take.
const BURST_MIN: f64 = 4.0;
/// Smallest part of a share that refills the bucket, for shares in which [`BURST_MIN`] leaves too little.
const REFILL_MIN: f64 = 0.5;

/// Tokens that are added with time and taken one by one.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    /// Tokens added in a second.
    rate: f64,
    filled: Millis,
}

impl TokenBucket {
    /// A full bucket for a share, in tokens a second.
    pub fn new(share: f64, now: Millis) -> Self {
        let mut bucket = Self {
            tokens: f64::INFINITY,
            capacity: f64::INFINITY,
            rate: 0.0,
            filled: now,
        };
        bucket.set_share(share, now);
        bucket
    }

    /// Changes the share; tokens beyond the new capacity are lost.
    pub fn set_share(&mut self, share: f64, now: Millis) {
        self.fill(now);
        self.capacity = (share * BURST_SHARE).max(BURST_MIN);
        self.rate = (share - self.capacity).max(share * REFILL_MIN);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes a token if one is left above the reserve, which is a part of the capacity plus a number of tokens.
    pub fn take(&mut self, part: f64, tokens: f64, now: Millis) -> bool {
        self.fill(now);
        if self.tokens - 1.0 < self.capacity * part + tokens {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: Millis) {
        let added = now.since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.capacity);
        self.filled = self.filled.max(now);
    }
}
