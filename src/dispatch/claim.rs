//! Claims: what is kept for an urgent unit while its victims stop.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Endpoint;
use super::obstacles::Obstacles;
use super::pool_view::PoolView;
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
    pub fn obstacles<F>(
        &self,
        endpoints: &BTreeMap<Arc<str>, Endpoint>,
        typical_log_speed: f64,
        accepts_work: F,
    ) -> Obstacles<'_>
    where
        F: Fn(&Endpoint) -> bool,
    {
        let mut found = Obstacles::default();
        for (name, tasks) in &self.tasks_by_endpoint {
            let Some(endpoint) = endpoints.get(name).filter(|endpoint| accepts_work(endpoint)) else {
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
