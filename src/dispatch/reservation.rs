//! Reservations: endpoints on which a blocked gang can start soonest, so that no other work delays it there.

use std::sync::Arc;

use super::place;
use super::pool_view::PoolView;
use super::rank::Rank;
use super::round_cache::RoundCache;
use super::{Dispatcher, EndpointView, UnitState};
use crate::port::Resources;

/// Time after which a reservation is made anew, in milliseconds; the expected ends of runs change with the reports of
/// their endpoints, about one a second.
const RESERVATION_MS: u64 = 100;

/// Endpoints that are reserved for a gang.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    /// When it was made, in milliseconds.
    made_at: u64,
    /// When the gang is expected to start, in milliseconds; 0 if it fits nowhere.
    pub start_at: u64,
    pub endpoints: Vec<Arc<str>>,
}

impl Reservation {
    /// Keeps work that would delay the gang away from its endpoints.
    pub fn apply(&self, views: &mut PoolView, now: u64) {
        for name in &self.endpoints {
            if let Some(index) = views.index_of(name) {
                views.reserve(index, self.start_at.max(now + 1));
            }
        }
    }
}

impl Dispatcher {
    /// Reserves the endpoints on which a blocked gang can start soonest, if the unit is one and there are few others.
    pub(super) fn reserve(
        &self,
        id: &Arc<str>,
        position: usize,
        views: &mut PoolView,
        cache: &mut RoundCache,
        rank: &Rank,
        now: u64,
    ) {
        if self.jobs[id].units[position].size <= 1 || cache.reservations.len() >= self.tuning.reservations_max {
            return;
        }
        let key = (Arc::clone(id), position);
        let kept = self.reservations.get(&key);
        let fresh = kept.filter(|kept| now.saturating_sub(kept.made_at) < RESERVATION_MS);
        let reservation = fresh.cloned().unwrap_or_else(|| {
            let demand = self.demand(views, id, position, rank, now);
            let found = place::earliest_start(views, &self.releases(views), &demand);
            let (start_at, chosen) = found.unwrap_or_default();
            Reservation {
                made_at: now,
                start_at,
                endpoints: chosen.into_iter().map(|index| Arc::clone(&views[index].name)).collect(),
            }
        });
        reservation.apply(views, now);
        cache.reservations.insert(key, reservation);
    }

    /// Expected ends of the runs on each endpoint, and the resources that each releases.
    fn releases(&self, views: &PoolView) -> Vec<Vec<(u64, Resources)>> {
        let runs = |view: &EndpointView| self.endpoints[&view.name].runs.values();
        views
            .iter()
            .map(|view| runs(view).map(|placed| (placed.ends_at, placed.room)).collect())
            .collect()
    }

    /// Expects the runs of a unit that has ended or is being stopped to be gone soon.
    pub(super) fn expect_end_now(&mut self, id: &Arc<str>, position: usize, now: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        let unit = &job.units[position];
        debug_assert!(unit.state != UnitState::Waiting, "a waiting unit has no runs");
        for member in unit.members.iter().filter(|member| member.holds_room()) {
            if let Some(endpoint) = self.endpoints.get_mut(&member.endpoint) {
                endpoint.expect_end(&member.task, unit.run, now);
            }
        }
    }
}
