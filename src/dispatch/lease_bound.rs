//! Bounds of leases that outlive a change of leader.
//!
//! The runs on an endpoint that can no longer be asked count until every lease that may cover them has expired. A new
//! leader does not know when its predecessor last granted one, so it would have to wait for the longest time that is
//! possible, and each further change of leader would start that wait anew. So a leader stores when the leases on such an
//! endpoint end, and grants none there from then on, not before it has removed the bound from the store again.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Dispatcher, Endpoint};

/// Number of unanswered holds after which the leases on an endpoint that is no longer listed are not renewed any more.
pub(super) const UNLISTED_MISSED_HOLDS_MAX: u32 = 2;

/// When all leases on an endpoint have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseBound {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the endpoint, which identifies its incarnation.
    pub born: u64,
    /// Time by which all leases on that incarnation have ended, in milliseconds.
    pub ends_at: u64,
}

/// Bounds that are stored or about to be.
#[derive(Debug)]
pub(super) struct LeaseBounds {
    /// Those that may be in the store, by endpoint; no lease is granted there.
    possible: BTreeMap<Arc<str>, LeaseBound>,
    /// Those that are in the store; `None` if that is not known.
    stored: Option<Vec<LeaseBound>>,
}

impl Default for LeaseBounds {
    fn default() -> Self {
        Self {
            possible: BTreeMap::new(),
            stored: Some(Vec::new()),
        }
    }
}

impl LeaseBounds {
    /// Whether a bound for the endpoint may be in the store.
    pub fn contains(&self, endpoint: &str) -> bool {
        self.possible.contains_key(endpoint)
    }

    /// Time by which all leases on an incarnation of an endpoint have ended, if the former leader has stored it.
    pub fn ends_at(&self, endpoint: &str, born: u64) -> Option<u64> {
        let bound = self.possible.get(endpoint)?;
        (bound.born == born).then_some(bound.ends_at)
    }

    /// Returns the bounds to store if they differ from the stored ones; they may be in the store from then on.
    pub fn changed(&mut self, wanted: Vec<LeaseBound>) -> Option<Vec<LeaseBound>> {
        if self.stored.as_ref() == Some(&wanted) {
            return None;
        }
        for bound in &wanted {
            self.possible.insert(Arc::clone(&bound.endpoint), bound.clone());
        }
        Some(wanted)
    }

    /// Notes that exactly these bounds are in the store.
    pub fn set_stored(&mut self, bounds: Vec<LeaseBound>) {
        let by_name = bounds.iter().map(|bound| (Arc::clone(&bound.endpoint), bound.clone()));
        self.possible = by_name.collect();
        self.stored = Some(bounds);
    }

    /// Notes that the bounds have to be stored again, if there are any.
    pub fn store_again(&mut self) {
        if self.stored.as_ref().is_none_or(|stored| !stored.is_empty()) {
            self.stored = None;
        }
    }

    /// Notes that a transaction with bounds has failed or has no answer.
    pub fn store_failed(&mut self) {
        self.stored = None;
    }
}

impl Dispatcher {
    /// Adopts the bounds that the former leader has stored; has to be called before any job is added.
    pub fn restore_lease_bounds(&mut self, bounds: Vec<LeaseBound>) {
        self.lease_bounds.set_stored(bounds);
        self.lease_bounds.store_again();
    }

    /// Bounds of the endpoints on which this leader will grant no lease: not listed, with runs, and either never leased by
    /// this leader or silent.
    pub(super) fn wanted_lease_bounds(&self) -> Vec<LeaseBound> {
        let is_silent = |endpoint: &Endpoint| {
            !endpoint.listed
                && !endpoint.runs.is_empty()
                && endpoint.fence.is_some()
                && (endpoint.leased_at.is_none() || endpoint.missed_holds >= UNLISTED_MISSED_HOLDS_MAX)
        };
        let silent = self.endpoints.iter().filter(|(_, endpoint)| is_silent(endpoint));
        silent
            .map(|(name, endpoint)| LeaseBound {
                endpoint: Arc::clone(name),
                born: endpoint.entry.born,
                ends_at: endpoint.leases_end(),
            })
            .collect()
    }
}
