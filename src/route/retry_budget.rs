//! Retry budget.

use crate::time::Millis;

/// Retries allowed per first try.
const TOKENS_PER_CALL: f64 = 0.1;
/// Tokens that can be saved up; bounds the burst of retries after a quiet time.
const TOKENS_MAX: f64 = 10.0;
/// Tokens per second earned without any call, so that an instance with little load can retry at all.
const TOKENS_PER_S: f64 = 0.2;

/// Token bucket that limits retries to a tenth of the calls.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 1.0,
            refilled_at: Millis::ZERO,
        }
    }
}

impl RetryBudget {
    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(TOKENS_MAX);
    }

    /// Counts a call that was sent.
    pub fn deposit(&mut self) {
        self.add(TOKENS_PER_CALL);
    }

    /// Takes a token for a retry; false if there is none.
    pub fn withdraw(&mut self, now: Millis) -> bool {
        self.add(now.since(self.refilled_at).as_secs_f64() * TOKENS_PER_S);
        self.refilled_at = now.max(self.refilled_at);
        if self.tokens < 1.0 {
            return false;
        }
        // The retry itself is counted as a call when it is sent and must not earn anything.
        self.tokens -= 1.0 + TOKENS_PER_CALL;
        true
    }
}
