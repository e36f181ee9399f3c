//! Retry budget.

use crate::time::Millis;

/// Retries allowed per first try.
const RATIO: f64 = 0.1;
/// Tokens that can be saved up; bounds the burst of retries after a quiet time.
const TOKENS_MAX: f64 = 10.0;
/// Tokens per second earned without any call, so that an instance with little load can retry at all.
const TOKENS_PER_S: f64 = 0.2;

/// Token bucket that limits retries to a tenth of the calls.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    refilled: Millis,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 1.0,
            refilled: Millis::ZERO,
        }
    }
}

impl RetryBudget {
    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(TOKENS_MAX);
    }

    /// Counts a call that was sent.
    pub fn earn(&mut self) {
        self.add(RATIO);
    }

    /// Takes a token for a retry; false if there is none.
    pub fn spend(&mut self, now: Millis) -> bool {
        self.add(now.since(self.refilled).as_secs_f64() * TOKENS_PER_S);
        self.refilled = now.max(self.refilled);
        if self.tokens < 1.0 {
            return false;
        }
        // The retry itself is counted as a call when it is sent and must not earn anything.
        self.tokens -= 1.0 + RATIO;
        true
    }
}
