//! Chooses what has to stop so that an urgent unit can start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Site;
use super::place::{Demand, racks};
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

/// Cheapest way to make room for `demand`; `None` if stopping every victim would not do.
pub(super) fn plan(sites: &[Site], victims: &[Victim], demand: &Demand<'_>) -> Option<Plan> {
    let groups: Vec<Vec<usize>> = if demand.adjacent {
        racks(sites).into_values().collect()
    } else {
        vec![(0..sites.len()).collect()]
    };
    let mut best: Option<(f64, Plan)> = None;
    for group in groups {
        let Some((cost, found)) = plan_group(sites, victims, demand, &group) else {
            continue;
        };
        if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
            continue;
        }
        best = Some((cost, found));
    }
    best.map(|(_, found)| found)
}

fn plan_group(sites: &[Site], victims: &[Victim], demand: &Demand<'_>, group: &[usize]) -> Option<(f64, Plan)> {
    let mut stopped = BTreeSet::new();
    loop {
        if fit(sites, victims, demand, group, &stopped).is_some() {
            break;
        }
        let free = freed(sites, victims, group, &stopped);
        stopped.insert(next(sites, victims, demand, &free, &stopped)?);
    }
    // A later choice may have made an earlier one needless; the dearest are spared first.
    let mut dearest: Vec<usize> = stopped.iter().copied().collect();
    dearest.sort_by(|a, b| victims[*b].cost.total_cmp(&victims[*a].cost));
    for at in dearest {
        stopped.remove(&at);
        if fit(sites, victims, demand, group, &stopped).is_none() {
            stopped.insert(at);
        }
    }
    let cost = stopped.iter().map(|at| 1.0 + victims[*at].cost).sum();
    let taken = fit(sites, victims, demand, group, &stopped)?;
    Some((cost, (taken, stopped)))
}

/// Room on the sites of a group once some victims have stopped.
fn freed(sites: &[Site], victims: &[Victim], group: &[usize], stopped: &BTreeSet<usize>) -> BTreeMap<usize, Room> {
    let mut free: BTreeMap<usize, Room> = group.iter().map(|at| (*at, sites[*at].claimable())).collect();
    for at in stopped {
        for (site, room) in &victims[*at].rooms {
            if let Some(have) = free.get_mut(site) {
                *have = have.plus(room);
            }
        }
    }
    free
}

/// Tasks that each site of a group takes once some victims have stopped; `None` if they do not all fit.
fn fit(
    sites: &[Site],
    victims: &[Victim],
    demand: &Demand<'_>,
    group: &[usize],
    stopped: &BTreeSet<usize>,
) -> Option<BTreeMap<usize, u32>> {
    let mut taken = BTreeMap::new();
    let mut total = 0;
    for (at, room) in freed(sites, victims, group, stopped) {
        let times = demand.times(&sites[at], &room).min(demand.count - total);
        if times == 0 {
            continue;
        }
        taken.insert(at, times);
        total += times;
    }
    (total == demand.count).then_some(taken)
}

/// The victim that makes most room for its cost.
fn next(
    sites: &[Site],
    victims: &[Victim],
    demand: &Demand<'_>,
    free: &BTreeMap<usize, Room>,
    stopped: &BTreeSet<usize>,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (at, victim) in victims.iter().enumerate() {
        if stopped.contains(&at) {
            continue;
        }
        let mut gain = 0.0;
        for (site, room) in &victim.rooms {
            let Some(have) = free.get(site) else { continue };
            let before = demand.times(&sites[*site], have);
            let after = demand.times(&sites[*site], &have.plus(room));
            gain += f64::from(after - before.min(after));
            // Room that is too small by itself still helps together with other victims.
            if demand.times(&sites[*site], &Room::ALL) > after {
                gain += 0.1 * share(room, &demand.need);
            }
        }
        if gain <= 0.0 {
            continue;
        }
        let price = (1.0 + victim.cost) / gain;
        if best.is_some_and(|(least, _)| least <= price) {
            continue;
        }
        best = Some((price, at));
    }
    best.map(|(_, at)| at)
}

/// Part of `need` that `room` covers, at most 1.
fn share(room: &Room, need: &Room) -> f64 {
    let ratio = |have: u64, want: u64| if want == 0 { 0.0 } else { have as f64 / want as f64 };
    ratio(room.millicores, need.millicores)
        .max(ratio(room.memory_mb, need.memory_mb))
        .max(ratio(room.accelerators, need.accelerators))
        .min(1.0)
}
