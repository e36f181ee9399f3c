//! Bounds of leases that are stored ahead of time, for endpoints that are about to leave.
//!
//! A draining endpoint may leave the list while nobody leads, and the next leader cannot tell whether it has left or is only
//! out of reach. So the leader stores a bound for each draining endpoint with runs, grants no lease there that would outlast
//! it, and moves the bound on while the endpoint stays. While the store is away, the leases end with the bound.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Dispatcher, Endpoint, LeaseBound};

/// Time from now to a new bound, in milliseconds; holds the lease of a draining endpoint and two writes to a slow store.
const BOUND_AHEAD_MS: u64 = 7_000;

/// Time before a bound at which it is moved on, in milliseconds.
const RENEW_BEFORE_MS: u64 = 5_000;

/// Time by which a bound may be later than needed, in milliseconds.
const EXCESS_MAX_MS: u64 = 2_000;

/// Most endpoints with such bounds; a row may have 64 KiB in Base64.
const ENDPOINTS_MAX: usize = 400;

/// Bounds of draining endpoints.
#[derive(Debug, Default)]
pub(super) struct DrainBounds {
    /// Bounds to store, by endpoint.
    wanted: BTreeMap<Arc<str>, LeaseBound>,
    /// Earliest ends that may be in the store, by endpoint; no lease outlasts them.
    limits: BTreeMap<Arc<str>, u64>,
}

impl DrainBounds {
    /// Whether a lease on an endpoint that lasts until `ends_at` contradicts no bound that may be in the store.
    pub fn allows(&self, endpoint: &str, ends_at: u64) -> bool {
        self.limits.get(endpoint).is_none_or(|limit| ends_at <= *limit)
    }

    /// Whether the bound of an endpoint may be in the store.
    pub fn is_limit(&self, endpoint: &str) -> bool {
        self.limits.contains_key(endpoint)
    }

    /// Notes that these bounds may be in the store from now on. Earlier ones may still be there.
    pub fn sent(&mut self, bounds: &[LeaseBound]) {
        for bound in bounds {
            let limit = self.limits.entry(Arc::clone(&bound.endpoint)).or_insert(bound.ends_at);
            *limit = bound.ends_at.min(*limit);
        }
    }

    /// Notes that of all bounds exactly these are in the store.
    pub fn set_stored(&mut self, bounds: &[LeaseBound]) {
        let stored = bounds.iter().filter(|bound| self.is_limit(&bound.endpoint));
        self.limits = stored
            .map(|bound| (Arc::clone(&bound.endpoint), bound.ends_at))
            .collect();
    }

    /// Whether the bound of an endpoint has to be replaced by `fresh` at `now`.
    fn is_due(&self, fresh: &LeaseBound, now: u64) -> bool {
        self.wanted.get(&fresh.endpoint).is_none_or(|bound| {
            bound.born != fresh.born
                || bound.ends_at < now + RENEW_BEFORE_MS
                || bound.ends_at > fresh.ends_at + EXCESS_MAX_MS
        })
    }

    /// Replaces all bounds if one is due, so that they share a transaction; otherwise only drops those that are not needed
    /// any more.
    fn update(&mut self, fresh: BTreeMap<Arc<str>, LeaseBound>, now: u64) {
        if fresh.values().any(|bound| self.is_due(bound, now)) {
            self.wanted = fresh;
        } else {
            self.wanted.retain(|name, _| fresh.contains_key(name));
        }
    }
}

impl Dispatcher {
    /// Moves the bounds of draining endpoints on if they are due.
    pub(super) fn update_drain_bounds(&mut self, now: u64) {
        let may_leave = |endpoint: &Endpoint| {
            endpoint.listed && endpoint.entry.draining && !endpoint.runs.is_empty() && endpoint.fence.is_some()
        };
        let leaving = self.endpoints.iter().filter(|(_, endpoint)| may_leave(endpoint));
        let fresh = leaving.take(ENDPOINTS_MAX).map(|(name, endpoint)| {
            let bound = LeaseBound {
                endpoint: Arc::clone(name),
                born: endpoint.entry.born,
                ends_at: endpoint.leases_end().max(now + BOUND_AHEAD_MS),
            };
            (Arc::clone(name), bound)
        });
        let fresh = fresh.collect();
        self.lease_bounds.drain.update(fresh, now);
    }

    /// Bounds of draining endpoints to store. Leases that were granted since they were set are covered.
    pub(super) fn wanted_drain_bounds(&self) -> Vec<LeaseBound> {
        let mut bounds = Vec::new();
        for (name, bound) in &self.lease_bounds.drain.wanted {
            let Some(endpoint) = self.endpoints.get(name) else {
                continue;
            };
            // An endpoint that is not listed any more may have a bound as a silent one.
            if endpoint.entry.born != bound.born || !endpoint.listed {
                continue;
            }
            bounds.push(LeaseBound {
                ends_at: bound.ends_at.max(endpoint.leases_end()),
                ..bound.clone()
            });
        }
        bounds
    }
}
