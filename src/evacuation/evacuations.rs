//! Closed failure domains.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Share of the bound on the time until a request takes effect after which the knowledge is stale; the rest is for orders
/// under way.
const FRESH_SHARE: f64 = 0.7;

/// Failure domains that the operator has closed, and when that was last known to be all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    domains: BTreeSet<Arc<str>>,
    /// Time up to which all requests are known, in milliseconds; `None` before the first reading.
    pub known_at: Option<u64>,
}

impl Evacuations {
    /// Age from which the knowledge is stale if a request has to take effect within `bound_ms` milliseconds.
    pub fn stale_after_ms(bound_ms: f64) -> u64 {
        (bound_ms * FRESH_SHARE) as u64
    }

    /// Closes a domain.
    pub fn close(&mut self, domain: Arc<str>) {
        self.domains.insert(domain);
    }

    /// Opens a domain again.
    pub fn open(&mut self, domain: &str) {
        self.domains.remove(domain);
    }

    /// Whether a domain is closed.
    pub fn closes(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The closed domains.
    pub fn domains(&self) -> &BTreeSet<Arc<str>> {
        &self.domains
    }

    /// Whether a domain may have been closed without being known; `stale_after_ms` is `None` on a site without
    /// evacuations.
    pub fn is_stale(&self, stale_after_ms: Option<u64>, now: u64) -> bool {
        let Some(limit_ms) = stale_after_ms else { return false };
        self.known_at.is_none_or(|at| now.saturating_sub(at) > limit_ms)
    }

    /// Whether a start may be sent to an endpoint in `domain` now.
    pub fn allows_start(&self, domain: &str, stale_after_ms: Option<u64>, now: u64) -> bool {
        !self.closes(domain) && !self.is_stale(stale_after_ms, now)
    }
}
