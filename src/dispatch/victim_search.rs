//! Chooses what has to stop so that an urgent unit can start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::place::Demand;
use super::pool_view::Sites;
use crate::port::Room;

/// A unit that may be stopped.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    /// Job and position of the unit.
    pub unit: (Arc<str>, usize),
    /// Work that would be lost, in core-seconds.
    pub cost: f64,
    /// Room that comes free, by site.
    pub rooms: BTreeMap<usize, Room>,
}

/// Sites with the tasks that each is to take, and the units that have to stop first.
pub(super) type Plan = (BTreeMap<usize, u32>, BTreeSet<usize>);

/// Room for one more task on a site: its price, and the units that have to stop for it.
type Offer = (f64, Vec<usize>);

/// Victims by the site on which they hold room.
pub(super) fn by_site(sites: &Sites, victims: &[Victim]) -> Vec<Vec<usize>> {
    let mut local = vec![Vec::new(); sites.len()];
    for (at, victim) in victims.iter().enumerate() {
        for site in victim.rooms.keys() {
            local[*site].push(at);
        }
    }
    local
}

/// Cheapest way to make room for `demand`; `None` if stopping every victim would not do.
pub(super) fn plan(sites: &Sites, victims: &[Victim], demand: &Demand<'_>) -> Option<Plan> {
    let local = by_site(sites, victims);
    let mut best: Option<(f64, Plan)> = None;
    for group in sites.groups(demand.adjacent) {
        let limit = best.as_ref().map_or(f64::INFINITY, |(least, _)| *least);
        let search = Search {
            sites,
            victims,
            local: &local,
            demand,
        };
        if let Some(found) = search.group(&group, limit) {
            best = Some(found);
        }
    }
    best.map(|(_, found)| found)
}

/// What a search for room looks at.
struct Search<'s> {
    sites: &'s Sites,
    victims: &'s [Victim],
    local: &'s [Vec<usize>],
    demand: &'s Demand<'s>,
}

impl Search<'_> {
    /// Room on the sites of a group for less than `limit`: takes the cheapest offer of any site until all tasks have room.
    fn group(&self, group: &[usize], limit: f64) -> Option<(f64, Plan)> {
        let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
        let mut stopped = BTreeSet::new();
        let mut offers: BTreeMap<usize, Offer> = BTreeMap::new();
        for at in group {
            if let Some(offer) = self.offer(*at, 0, &stopped) {
                offers.insert(*at, offer);
            }
        }
        let mut cost = 0.0;
        for _ in 0..self.demand.count {
            let (at, _) = offers.iter().min_by(|(_, (a, _)), (_, (b, _))| a.total_cmp(b))?;
            let at = *at;
            let (price, victims) = offers.remove(&at)?;
            cost += price;
            if cost >= limit {
                return None;
            }
            *taken.entry(at).or_default() += 1;
            let mut touched = BTreeSet::from([at]);
            for victim in victims {
                stopped.insert(victim);
                touched.extend(self.victims[victim].rooms.keys().copied());
            }
            for other in touched {
                if other != at && !offers.contains_key(&other) {
                    continue;
                }
                match self.offer(other, taken.get(&other).copied().unwrap_or(0), &stopped) {
                    Some(offer) => offers.insert(other, offer),
                    None => offers.remove(&other),
                };
            }
        }
        Some((cost, (taken, stopped)))
    }

    /// Cheapest way to make room for one more task on a site that has `taken` of them.
    fn offer(&self, at: usize, taken: u32, stopped: &BTreeSet<usize>) -> Option<Offer> {
        let site = &self.sites[at];
        let mut room = site.claimable();
        let mut left = Vec::new();
        for victim in &self.local[at] {
            let freed = &self.victims[*victim].rooms[&at];
            if stopped.contains(victim) {
                room = room.plus(freed);
            } else {
                left.push((*victim, *freed));
            }
        }
        let enough = |room: &Room| self.demand.times(site, room) > taken;
        if enough(&room) {
            return Some((0.0, Vec::new()));
        }
        if !enough(&site.capacity) {
            return None;
        }
        // The cheapest for the room that they free come first.
        let price = |(victim, freed): &(usize, Room)| {
            (1.0 + self.victims[*victim].cost) / share(freed, &self.demand.need).max(0.01)
        };
        left.sort_by(|a, b| price(a).total_cmp(&price(b)));
        let mut chosen: Vec<(usize, Room)> = Vec::new();
        for victim in left {
            room = room.plus(&victim.1);
            chosen.push(victim);
            if enough(&room) {
                break;
            }
        }
        if !enough(&room) {
            return None;
        }
        // A later choice may have made an earlier one needless; the dearest are spared first.
        chosen.sort_by(|a, b| self.victims[b.0].cost.total_cmp(&self.victims[a.0].cost));
        let mut kept = Vec::new();
        for (victim, freed) in chosen {
            let without = room.minus(&freed);
            if enough(&without) {
                room = without;
            } else {
                kept.push(victim);
            }
        }
        let cost = kept.iter().map(|victim| 1.0 + self.victims[*victim].cost).sum();
        Some((cost, kept))
    }
}

/// Part of `need` that `room` covers, at most 1.
fn share(room: &Room, need: &Room) -> f64 {
    let ratio = |have: u64, want: u64| if want == 0 { 0.0 } else { have as f64 / want as f64 };
    ratio(room.millicores, need.millicores)
        .max(ratio(room.memory_mb, need.memory_mb))
        .max(ratio(room.accelerators, need.accelerators))
        .min(1.0)
}
