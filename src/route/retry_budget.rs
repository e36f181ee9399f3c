//! Token bucket for retries.

use crate::time::Millis;

/// Tokens earned by a first try, and so the retries allowed per first try.
const TOKENS_PER_CALL: f64 = 0.1;
/// Most tokens in the bucket; limits the burst of retries after a time of few calls.
const TOKENS_MAX: f64 = 10.0;
/// Tokens earned per second without calls, so that an instance with few calls can retry at all.
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

    /// Adds the tokens that a call earns.
    pub fn deposit(&mut self) {
        self.add(TOKENS_PER_CALL);
    }

    /// Takes a token for a retry; returns false if there is none.
    pub fn withdraw(&mut self, now: Millis) -> bool {
        self.add(now.since(self.refilled_at).as_secs_f64() * TOKENS_PER_S);
        self.refilled_at = now.max(self.refilled_at);
        if self.tokens < 1.0 {
            return false;
        }
        // Sending the retry deposits tokens as for any call; they are taken back here, so that a retry earns nothing.
        self.tokens -= 1.0 + TOKENS_PER_CALL;
        true
    }
}
