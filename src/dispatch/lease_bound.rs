//! Bounds of leases that outlive a change of leader.
//!
//! The runs on an endpoint that can no longer be asked count until every lease that may cover them has expired. A new
//! leader does not know when its predecessor last granted one, so it would have to wait for the longest time that is
//! possible, and each further change of leader would start that wait anew. So a leader stores when the leases on such an
//! endpoint end, and grants none there from then on, not before it has removed the bound from the store again.
//!
//! A leader that releases its lead stores the bounds of all endpoints in the same transaction, and from the time at which
//! it is sent grants nothing that would outlast them, so its successor need not count from its own takeover. If the
//! transaction is declined for certain, granting goes on at once. If its outcome is unknown, granting goes on once a later
//! transaction without these bounds is stored: until then a successor may rely on them.
//!
//! What a leader inherits it keeps apart from what it stores itself. The store marks bounds with the token of their leader,
//! so those of a former leader mean nothing to the next one, and this leader may grant leases beyond them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::drain_bound::DrainBounds;
use super::endpoint::PlacedRun;
use super::{Dispatcher, Endpoint, LeaseSource, MemberState, Snapshot};

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

/// Size that the individual bounds of a release may take in its row, in bytes. A row may have 64 KiB in Base64.
const RELEASE_BYTES_MAX: usize = 24 * 1024;

/// Size of a bound in the row beside the name of its endpoint, in bytes.
const BOUND_BYTES: usize = 28;

/// Time that a start may take on its way out while the lead is released, in milliseconds.
const START_SEND_MS: u64 = 500;

/// Bounds of a former leader, and those that are stored or about to be.
#[derive(Debug)]
pub(super) struct LeaseBounds {
    /// Those of the former leader, by endpoint.
    inherited: BTreeMap<Arc<str>, LeaseBound>,
    /// Time by which all leases on other endpoints have ended, if the former leader has released its lead.
    common_end: Option<u64>,
    /// Ends of leases by endpoint in a release of the lead that may be in the store; nothing that outlasts them is granted.
    release: Option<BTreeMap<Arc<str>, u64>>,
    /// The outcome of a release is unknown.
    release_unknown: bool,
    /// Those of draining endpoints; leases are granted there within them.
    pub(super) drain: DrainBounds,
    /// All others that may be in the store, by endpoint; no lease is granted there.
    possible: BTreeMap<Arc<str>, LeaseBound>,
    /// Those that are in the store; `None` if that is not known.
    stored: Option<Vec<LeaseBound>>,
}

impl Default for LeaseBounds {
    fn default() -> Self {
        Self {
            inherited: BTreeMap::new(),
            common_end: None,
            release: None,
            release_unknown: false,
            drain: DrainBounds::default(),
            possible: BTreeMap::new(),
            stored: Some(Vec::new()),
        }
    }
}

impl LeaseBounds {
    /// Whether a bound for the endpoint may be in the store.
    pub fn contains(&self, endpoint: &str) -> bool {
        self.release.is_some() || self.possible.contains_key(endpoint)
    }

    /// Whether a lease on the endpoint that lasts until `ends_at` contradicts no bound that may be in the store.
    pub fn allows(&self, endpoint: &str, ends_at: u64) -> bool {
        let within = |ends: &BTreeMap<Arc<str>, u64>| ends.get(endpoint).is_some_and(|end| ends_at <= *end);
        !self.possible.contains_key(endpoint)
            && self.drain.allows(endpoint, ends_at)
            && self.release.as_ref().is_none_or(within)
    }

    /// Time by which all leases on an incarnation of an endpoint have ended, if the former leader has stored it.
    pub fn inherited_end(&self, endpoint: &str, born: u64) -> Option<(u64, LeaseSource)> {
        let Some(bound) = self.inherited.get(endpoint) else {
            return self.common_end.map(|ends_at| (ends_at, LeaseSource::ReleasedLead));
        };
        (bound.born == born).then_some((bound.ends_at, LeaseSource::StoredBound))
    }

    /// Notes that a release of the lead with these ends of leases may be in the store from now on.
    fn release(&mut self, ends: BTreeMap<Arc<str>, u64>) {
        // An earlier release with an unknown outcome may be the one that is stored.
        let earlier = self.release.take();
        let within = |name: &Arc<str>, end: u64| match &earlier {
            None => Some(end),
            Some(earlier) => earlier.get(name).map(|bound| end.min(*bound)),
        };
        let limited = ends
            .into_iter()
            .filter_map(|(name, end)| Some((Arc::clone(&name), within(&name, end)?)));
        self.release = Some(limited.collect());
    }

    /// Notes that a release of the lead is not in the store.
    pub fn release_declined(&mut self) {
        if !self.release_unknown {
            self.release = None;
        }
    }

    /// Notes that a release of the lead has an unknown outcome.
    pub fn release_failed(&mut self) {
        self.release_unknown |= self.release.is_some();
    }

    /// Notes that a transaction that releases no lead has replaced all bounds in the store.
    pub fn release_replaced(&mut self) {
        self.release = None;
        self.release_unknown = false;
    }

    /// Returns the bounds of silent and of draining endpoints to store if they differ from the stored ones; they may be in
    /// the store from then on.
    pub fn changed(&mut self, silent: Vec<LeaseBound>, draining: &[LeaseBound]) -> Option<Vec<LeaseBound>> {
        let wanted = [&*silent, draining].concat();
        if self.stored.as_ref() == Some(&wanted) {
            return None;
        }
        for bound in silent {
            self.possible.insert(Arc::clone(&bound.endpoint), bound);
        }
        self.drain.sent(draining);
        Some(wanted)
    }

    /// Notes that exactly these bounds are in the store.
    pub fn set_stored(&mut self, bounds: Vec<LeaseBound>) {
        self.drain.set_stored(&bounds);
        let others = bounds.iter().filter(|bound| !self.drain.is_limit(&bound.endpoint));
        self.possible = others
            .map(|bound| (Arc::clone(&bound.endpoint), bound.clone()))
            .collect();
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
        let by_name = bounds.into_iter().map(|bound| (Arc::clone(&bound.endpoint), bound));
        self.lease_bounds.inherited = by_name.collect();
    }

    /// Adopts the time by which all leases on endpoints without a bound of their own have ended, which a former leader has
    /// stored with the release of its lead; has to be called before any job is added.
    pub fn restore_common_bound(&mut self, ends_at: u64) {
        self.lease_bounds.common_end = Some(ends_at);
    }

    /// Bounds to store with the release of the lead. Until its outcome is known, no lease is granted that outlasts them.
    pub fn release(&mut self, now: u64) -> Snapshot {
        let with_runs = self.endpoints.iter().filter(|(_, endpoint)| !endpoint.runs.is_empty());
        let mut bounds: Vec<LeaseBound> = with_runs
            .map(|(name, endpoint)| LeaseBound {
                endpoint: Arc::clone(name),
                born: endpoint.entry.born,
                ends_at: self.release_end(endpoint, now),
            })
            .collect();
        // The latest get bounds of their own, so that they do not put the common one off.
        bounds.sort_by_key(|bound| std::cmp::Reverse(bound.ends_at));
        let mut bytes = 0;
        let mut ends: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let listed = bounds.iter().take_while(|bound| {
            bytes += bound.endpoint.len() + BOUND_BYTES;
            bytes <= RELEASE_BYTES_MAX
        });
        let listed = listed.count();
        let others = bounds.split_off(listed);
        let latest_end = others.first().map_or(0, |bound| bound.ends_at);
        // Runs that this leader does not know may be on any endpoint, under leases that it granted for others.
        let common_end = latest_end.max(now + self.longest_lease_ms());
        ends.extend(bounds.iter().map(|bound| (Arc::clone(&bound.endpoint), bound.ends_at)));
        ends.extend(others.into_iter().map(|bound| (bound.endpoint, common_end)));
        self.lease_bounds.release(ends);
        Snapshot {
            lease_bounds: Some(bounds),
            common_bound: Some(common_end),
            ..Snapshot::default()
        }
    }

    /// Time by which the leases on an endpoint have ended if no hold renews them, and starts that are stored are sent.
    fn release_end(&self, endpoint: &Endpoint, now: u64) -> u64 {
        let is_sent = |placed_run: &PlacedRun| {
            let job = self.jobs.get(&placed_run.job);
            let member = job.and_then(|job| job.units[placed_run.unit].members.get(placed_run.member));
            member.is_some_and(|member| matches!(member.state, MemberState::Sent { .. }))
        };
        if !endpoint.runs.values().any(is_sent) {
            return endpoint.leases_end();
        }
        let start_end = endpoint.lease_bound(&self.tuning, now + START_SEND_MS, self.tuning.start_lease_ms);
        endpoint.leases_end().max(start_end)
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
