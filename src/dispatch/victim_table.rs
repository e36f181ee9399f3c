//! Search for the cheapest units to stop so that urgent units can start.
//!
//! The victims for one task on each endpoint depend only on what the task needs, so they are computed once in a round for
//! each need, and brought up to date where a unit or a claim has taken resources or victims.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
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
    /// Number of its earlier runs that were given up without having failed.
    pub stops: u32,
    /// Resources that its stop frees, by endpoint index.
    pub rooms: BTreeMap<usize, Resources>,
}

/// Number of tasks by endpoint index, and the indices of the victims that have to stop first.
pub(super) type Plan = (BTreeMap<usize, u32>, BTreeSet<usize>);

/// Cost of freeing an endpoint for one more task, and the victims that have to stop for it.
type CheapestVictims = (f64, Vec<usize>);

/// Cheapest victims for the first task on an endpoint; `None` if stopping all of them would not suffice.
#[derive(Debug, Clone, PartialEq)]
struct First {
    /// What could be claimed there without victims when they were found.
    claimable: Resources,
    found: Option<CheapestVictims>,
}

/// Properties of a demand on which the victims for one task depend.
#[derive(Debug, Clone, PartialEq)]
struct Need {
    room: Resources,
    min_speed: f64,
    label: String,
    /// Rack of the data, if only that rack is allowed.
    rack: Option<String>,
}

impl Need {
    /// `None` if the victims depend on more than the need.
    fn of(demand: &Demand<'_>) -> Option<Self> {
        if demand.per_endpoint_max > 0 || !demand.avoid.is_empty() || demand.permit.needs_ticket() {
            return None;
        }
        Some(Self {
            room: demand.need,
            min_speed: demand.min_speed,
            label: demand.label.to_owned(),
            rack: demand.rack_local_only.then(|| demand.rack.to_owned()),
        })
    }
}

/// Units that may be stopped in this round.
#[derive(Debug, Default)]
pub(super) struct VictimTable {
    victims: Vec<Victim>,
    /// Indices of the victims on each endpoint.
    victims_on: Vec<Vec<usize>>,
    /// Cheapest victims for the first task on each endpoint, by need.
    cheapest: Vec<(Need, Vec<First>)>,
}

impl VictimTable {
    /// Table of the given units, which run on the endpoints of `views`.
    pub fn new(views: &PoolView, victims: Vec<Victim>) -> Self {
        let mut victims_on = vec![Vec::new(); views.len()];
        for (index, victim) in victims.iter().enumerate() {
            for endpoint in victim.rooms.keys() {
                victims_on[*endpoint].push(index);
            }
        }
        Self {
            victims,
            victims_on,
            cheapest: Vec::new(),
        }
    }

    /// Number of units.
    pub fn len(&self) -> usize {
        self.victims.len()
    }

    /// Unit with an index.
    pub fn victim(&self, index: usize) -> &Victim {
        &self.victims[index]
    }

    /// Work that would be lost with the given units, in core-seconds.
    pub fn cost(&self, victims: &BTreeSet<usize>) -> f64 {
        victims.iter().map(|index| self.victims[*index].cost).sum()
    }

    /// Finds the cheapest victims for `demand`; `None` if stopping all of them would not suffice.
    pub fn plan(&mut self, views: &PoolView, demand: &Demand<'_>) -> Option<Plan> {
        let first = self.first_victims(views, demand);
        let search = Search {
            views,
            table: self,
            demand,
            first: &first,
        };
        let mut best: Option<(f64, Plan)> = None;
        for group in views.groups(demand.adjacent) {
            let limit = best.as_ref().map_or(f64::INFINITY, |(least, _)| *least);
            if let Some(found) = search.group(&group, limit) {
                best = Some(found);
            }
        }
        if let Some(need) = Need::of(demand) {
            self.cheapest.push((need, first));
        }
        best.map(|(_, found)| found)
    }

    /// Takes out the victims of a claim, which is booked in `views`. What it leaves of their resources may serve another
    /// urgent unit of this round.
    pub fn claim(&mut self, views: &mut PoolView, plan: &Plan) {
        let (tasks, stopped) = plan;
        let mut touched: BTreeSet<usize> = tasks.keys().copied().collect();
        for victim in stopped {
            let rooms = std::mem::take(&mut self.victims[*victim].rooms);
            for (endpoint, freed) in rooms {
                let view = &mut views.views_mut()[endpoint];
                view.terminating = view.terminating.plus(&freed);
                self.victims_on[endpoint].retain(|other| other != victim);
                touched.insert(endpoint);
            }
        }
        let mut tables = std::mem::take(&mut self.cheapest);
        for (need, first) in &mut tables {
            let demand = Demand::one_task(need.room, need.min_speed, &need.label, need.rack.as_deref());
            for endpoint in &touched {
                first[*endpoint] = self.first(views, &demand, *endpoint);
            }
        }
        self.cheapest = tables;
    }

    /// Cheapest victims for the first task on each endpoint. Those that are known are found anew where units were placed
    /// or claims made since.
    fn first_victims(&mut self, views: &PoolView, demand: &Demand<'_>) -> Vec<First> {
        let known = Need::of(demand).and_then(|need| self.cheapest.iter().position(|(known, _)| *known == need));
        let Some(position) = known else {
            return (0..views.len()).map(|index| self.first(views, demand, index)).collect();
        };
        let mut first = self.cheapest.swap_remove(position).1;
        for (index, known) in first.iter_mut().enumerate() {
            if known.claimable != views[index].claimable() {
                *known = self.first(views, demand, index);
            }
        }
        first
    }

    /// Cheapest victims for the first task on an endpoint.
    fn first(&self, views: &PoolView, demand: &Demand<'_>, index: usize) -> First {
        First {
            claimable: views[index].claimable(),
            found: self.cheapest_victims(views, demand, index, 0, &BTreeSet::new()),
        }
    }

    /// Cheapest victims on an endpoint for one more task, where `taken` tasks are already planned and `stopped` victims
    /// are to stop anyway.
    fn cheapest_victims(
        &self,
        views: &PoolView,
        demand: &Demand<'_>,
        index: usize,
        taken: u32,
        stopped: &BTreeSet<usize>,
    ) -> Option<CheapestVictims> {
        let view = &views[index];
        let mut room = view.claimable();
        let fits = |room: &Resources| demand.allowed_tasks(view, room) > taken;
        for victim in &self.victims_on[index] {
            if stopped.contains(victim) {
                room = room.plus(&self.victims[*victim].rooms[&index]);
            }
        }
        if fits(&room) {
            return Some((0.0, Vec::new()));
        }
        if !fits(&view.capacity) {
            return None;
        }
        let mut candidates = Vec::new();
        for victim in &self.victims_on[index] {
            if !stopped.contains(victim) {
                candidates.push((*victim, self.victims[*victim].rooms[&index]));
            }
        }
        // Victims with the lowest cost for the resources that they free come first.
        let price = |(victim, freed): &(usize, Resources)| {
            (1.0 + self.victims[*victim].cost) / share(freed, &demand.need).max(0.01)
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

/// Inputs of a search.
struct Search<'s> {
    views: &'s PoolView,
    table: &'s VictimTable,
    demand: &'s Demand<'s>,
    /// Cheapest victims for the first task on each endpoint.
    first: &'s [First],
}

impl Search<'_> {
    /// Greedy search in one group of endpoints: takes the cheapest endpoint for one task after another. `None` if the
    /// tasks do not fit or the cost reaches `limit`.
    fn group(&self, group: &[usize], limit: f64) -> Option<(f64, Plan)> {
        let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
        let mut stopped = BTreeSet::new();
        // Endpoints on which the plan has changed something.
        let mut changed: BTreeMap<usize, Option<CheapestVictims>> = BTreeMap::new();
        let mut queue: BinaryHeap<Reverse<(Cost, usize)>> = group
            .iter()
            .filter_map(|index| {
                self.first[*index]
                    .found
                    .as_ref()
                    .map(|found| Reverse((Cost(found.0), *index)))
            })
            .collect();
        let mut cost = 0.0;
        for _ in 0..self.demand.count {
            let (index, price, victims) = loop {
                let Reverse((queued, index)) = queue.pop()?;
                let present = changed.get(&index).unwrap_or(&self.first[index].found);
                // An entry that does not match was replaced by a later one.
                if let Some((price, victims)) = present
                    && Cost(*price) == queued
                {
                    break (index, *price, victims.clone());
                }
            };
            cost += price;
            if cost >= limit {
                return None;
            }
            *taken.entry(index).or_default() += 1;
            let mut touched = BTreeSet::from([index]);
            for victim in victims {
                stopped.insert(victim);
                touched.extend(self.table.victims[victim].rooms.keys().copied());
            }
            for other in touched {
                let known = changed.get(&other).unwrap_or(&self.first[other].found).is_some();
                if other != index && (!known || group.binary_search(&other).is_err()) {
                    continue;
                }
                let tasks = taken.get(&other).copied().unwrap_or(0);
                let found = self
                    .table
                    .cheapest_victims(self.views, self.demand, other, tasks, &stopped);
                if let Some((price, _)) = &found {
                    queue.push(Reverse((Cost(*price), other)));
                }
                changed.insert(other, found);
            }
        }
        Some((cost, (taken, stopped)))
    }
}

/// A cost with the total order of floating-point numbers.
#[derive(Debug, Clone, Copy)]
struct Cost(f64);

impl PartialEq for Cost {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Cost {}

impl PartialOrd for Cost {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cost {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
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
