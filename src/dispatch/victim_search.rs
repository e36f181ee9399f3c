//! Search for the cheapest units to stop so that an urgent unit can start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::place::Demand;
use super::pool_view::PoolView;
use crate::port::Resources;

/// A unit that may be stopped.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    /// Job and position of the unit.
    pub unit: (Arc<str>, usize),
    /// Work that would be lost, in core-seconds.
    pub cost: f64,
    /// Resources that its stop frees, by endpoint index.
    pub rooms: BTreeMap<usize, Resources>,
}

/// Number of tasks by endpoint index, and the indices of the victims that have to stop first.
pub(super) type Plan = (BTreeMap<usize, u32>, BTreeSet<usize>);

/// Cost of freeing an endpoint for one more task, and the victims that have to stop for it.
type CheapestVictims = (f64, Vec<usize>);

/// Indices of the victims on each endpoint.
pub(super) fn by_endpoint(views: &PoolView, victims: &[Victim]) -> Vec<Vec<usize>> {
    let mut victims_on = vec![Vec::new(); views.len()];
    for (index, victim) in victims.iter().enumerate() {
        for endpoint in victim.rooms.keys() {
            victims_on[*endpoint].push(index);
        }
    }
    victims_on
}

/// Finds the cheapest victims for `demand`; `None` if stopping all of them would not suffice.
pub(super) fn plan(views: &PoolView, victims: &[Victim], demand: &Demand<'_>) -> Option<Plan> {
    let victims_on = by_endpoint(views, victims);
    let mut best: Option<(f64, Plan)> = None;
    for group in views.groups(demand.adjacent) {
        let limit = best.as_ref().map_or(f64::INFINITY, |(least, _)| *least);
        let search = VictimSearch {
            views,
            victims,
            victims_on: &victims_on,
            demand,
        };
        if let Some(found) = search.group(&group, limit) {
            best = Some(found);
        }
    }
    best.map(|(_, found)| found)
}

/// Inputs of a search.
struct VictimSearch<'s> {
    views: &'s PoolView,
    victims: &'s [Victim],
    victims_on: &'s [Vec<usize>],
    demand: &'s Demand<'s>,
}

impl VictimSearch<'_> {
    /// Greedy search in one group of endpoints: takes the cheapest endpoint for one task after another. `None` if the
    /// tasks do not fit or the cost reaches `limit`.
    fn group(&self, group: &[usize], limit: f64) -> Option<(f64, Plan)> {
        let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
        let mut stopped = BTreeSet::new();
        let mut cheapest: BTreeMap<usize, CheapestVictims> = BTreeMap::new();
        for index in group {
            if let Some(cheapest_victims) = self.cheapest_victims(*index, 0, &stopped) {
                cheapest.insert(*index, cheapest_victims);
            }
        }
        let mut cost = 0.0;
        for _ in 0..self.demand.count {
            let (index, _) = cheapest.iter().min_by(|(_, (a, _)), (_, (b, _))| a.total_cmp(b))?;
            let index = *index;
            let (price, victims) = cheapest.remove(&index)?;
            cost += price;
            if cost >= limit {
                return None;
            }
            *taken.entry(index).or_default() += 1;
            let mut touched = BTreeSet::from([index]);
            for victim in victims {
                stopped.insert(victim);
                touched.extend(self.victims[victim].rooms.keys().copied());
            }
            for other in touched {
                if other != index && !cheapest.contains_key(&other) {
                    continue;
                }
                match self.cheapest_victims(other, taken.get(&other).copied().unwrap_or(0), &stopped) {
                    Some(cheapest_victims) => cheapest.insert(other, cheapest_victims),
                    None => cheapest.remove(&other),
                };
            }
        }
        Some((cost, (taken, stopped)))
    }

    /// Cheapest victims on an endpoint for one more task, where `taken` tasks are already planned.
    fn cheapest_victims(&self, index: usize, taken: u32, stopped: &BTreeSet<usize>) -> Option<CheapestVictims> {
        let view = &self.views[index];
        let mut room = view.claimable();
        let mut candidates = Vec::new();
        for victim in &self.victims_on[index] {
            let freed = &self.victims[*victim].rooms[&index];
            if stopped.contains(victim) {
                room = room.plus(freed);
            } else {
                candidates.push((*victim, *freed));
            }
        }
        let fits = |room: &Resources| self.demand.allowed_tasks(view, room) > taken;
        if fits(&room) {
            return Some((0.0, Vec::new()));
        }
        if !fits(&view.capacity) {
            return None;
        }
        // Victims with the lowest cost for the resources that they free come first.
        let price = |(victim, freed): &(usize, Resources)| {
            (1.0 + self.victims[*victim].cost) / share(freed, &self.demand.need).max(0.01)
        };
        candidates.sort_by(|a, b| price(a).total_cmp(&price(b)));
        let mut chosen: Vec<(usize, Resources)> = Vec::new();
        for victim in candidates {
            room = room.plus(&victim.1);
            chosen.push(victim);
            if fits(&room) {
                break;
            }
        }
        if !fits(&room) {
            return None;
        }
        // A later victim may make an earlier one unnecessary; the most expensive ones are spared first.
        chosen.sort_by(|a, b| self.victims[b.0].cost.total_cmp(&self.victims[a.0].cost));
        let mut needed = Vec::new();
        for (victim, freed) in chosen {
            let without = room.minus(&freed);
            if fits(&without) {
                room = without;
            } else {
                needed.push(victim);
            }
        }
        let cost = needed.iter().map(|victim| 1.0 + self.victims[*victim].cost).sum();
        Some((cost, needed))
    }
}

/// Largest fraction of a resource in `need` that `room` covers, at most 1.
fn share(room: &Resources, need: &Resources) -> f64 {
    let ratio = |have: u64, want: u64| if want == 0 { 0.0 } else { have as f64 / want as f64 };
    ratio(room.millicores, need.millicores)
        .max(ratio(room.memory_mb, need.memory_mb))
        .max(ratio(room.accelerators, need.accelerators))
        .min(1.0)
}
