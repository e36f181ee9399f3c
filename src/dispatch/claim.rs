//! Claims of urgent units.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::pool_view::PoolView;
use super::{Dispatcher, Endpoint};
use crate::port::Resources;

/// Resources that are kept for an urgent unit while its victims stop.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// Number of tasks that each endpoint is to take.
    pub tasks_by_endpoint: BTreeMap<Arc<str>, u32>,
    /// Resources of each task.
    pub need: Resources,
    /// All tasks have to be in one rack.
    pub adjacent: bool,
    /// Other endpoints below this speed are excluded.
    pub min_speed: f64,
    /// When the claim was made, in milliseconds.
    pub since: u64,
}

/// Endpoints of a claim that cannot take their tasks now, by the reason.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Obstacles<'c> {
    /// They accept no new work.
    pub closed: Vec<&'c str>,
    /// They have become slower than the claim allows.
    pub slow: Vec<&'c str>,
    /// Their resources are in use.
    pub occupied: Vec<&'c str>,
}

impl Claim {
    /// Sets its resources aside on its endpoints, or releases them.
    pub fn apply(&self, views: &mut PoolView, release: bool) {
        for (name, tasks) in &self.tasks_by_endpoint {
            if let Some(index) = views.index_of(name) {
                views.claim(index, &self.need, *tasks, release);
            }
        }
    }

    /// What keeps it from being met.
    fn obstacles(&self, endpoints: &BTreeMap<Arc<str>, Endpoint>, typical_log_speed: f64, now: u64) -> Obstacles<'_> {
        let mut found = Obstacles::default();
        for (name, tasks) in &self.tasks_by_endpoint {
            let Some(endpoint) = endpoints.get(name).filter(|endpoint| endpoint.is_open(now)) else {
                found.closed.push(&**name);
                continue;
            };
            if endpoint.speed_estimate.smoothed(typical_log_speed).exp() < self.min_speed {
                found.slow.push(&**name);
            } else if endpoint.free().fit_count(&self.need, *tasks) < *tasks {
                found.occupied.push(&**name);
            }
        }
        found
    }
}

impl Dispatcher {
    /// Drops the claims that have waited too long for their victims, and those with an endpoint that has become too slow
    /// unless their guarantee is due: there is time for better ones.
    pub(super) fn drop_claims(&mut self, now: u64) {
        let timeout_ms = self.tuning.claim_timeout_ms;
        let mut dropped = Vec::new();
        for ((job, unit), claim) in &self.claims {
            let found = claim.obstacles(&self.endpoints, self.typical_log_speed, now);
            let expired = claim.since + timeout_ms <= now;
            if !expired && (found.slow.is_empty() || self.guarantee_is_due(job, now)) {
                continue;
            }
            let (held_ms, endpoints) = (now - claim.since, claim.tasks_by_endpoint.len());
            let (closed, slow, occupied) = (found.closed.join(","), found.slow.join(","), found.occupied.join(","));
            log::info!(job:% = job, unit, held_ms, endpoints, closed, slow, occupied; "claim dropped without a start");
            dropped.push((Arc::clone(job), *unit));
        }
        for key in dropped {
            self.claims.remove(&key);
            self.counts.claims_dropped += 1;
        }
    }
}
