//! Choice of endpoints for a unit.
//!
//! A gang whose members slow each other down across racks is placed in one rack, provided that some rack could hold it
//! if empty. A single task that is not urgent takes slow and partly used endpoints first, so that fast and empty ones
//! stay free for gangs. Among equally empty endpoints it takes those in the rack with the least room, so that other racks
//! stay free as a whole. A unit leaves some empty endpoints to units of higher priority; see [`room`](crate::room).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use super::EndpointView;
use super::claim::Claim;
use super::crowding::Crowding;
use super::permit::Permit;
use super::pool_view::PoolView;
use crate::port::Resources;

/// Requirements of a unit on its endpoints.
#[derive(Debug, Clone)]
pub(super) struct Demand<'a> {
    /// Resources of each task.
    pub need: Resources,
    /// Number of tasks.
    pub count: u32,
    /// All tasks have to be in one rack.
    pub adjacent: bool,
    /// Label that the endpoints must carry; empty for none.
    pub label: &'a str,
    /// Rack that holds the data; empty for none.
    pub rack: &'a str,
    /// Only endpoints in the rack of the data are allowed.
    pub rack_local_only: bool,
    /// Most tasks of the step on one endpoint; 0 for no limit.
    pub per_endpoint_max: u32,
    /// Number of tasks of the step that each endpoint already has.
    pub placed_per_endpoint: BTreeMap<Arc<str>, u32>,
    /// Endpoints on which the unit has failed.
    pub avoid: &'a BTreeSet<Arc<str>>,
    /// What its tasks need from the advice service.
    pub permit: Permit<'a>,
    /// Endpoints that are taken last, since tasks run there that slow these down or are slowed down by them.
    pub crowding: Crowding,
    /// Prefer fast endpoints for a single task.
    pub urgent: bool,
    /// Endpoints below this speed are excluded.
    pub min_speed: f64,
    /// Expected end of the unit if it started now, in milliseconds.
    pub ends_at: u64,
    /// Number of empty endpoints that it has to leave to others.
    pub kept_empty: u32,
}

/// Endpoints to avoid for a unit that has failed nowhere.
pub(super) static AVOID_NONE: BTreeSet<Arc<str>> = BTreeSet::new();

impl<'a> Demand<'a> {
    /// A demand for one task that depends only on the endpoint and what is free there; `rack` is the only one allowed.
    pub fn one_task(need: Resources, min_speed: f64, label: &'a str, rack: Option<&'a str>) -> Self {
        Self {
            need,
            count: 1,
            adjacent: false,
            label,
            rack: rack.unwrap_or_default(),
            rack_local_only: rack.is_some(),
            per_endpoint_max: 0,
            placed_per_endpoint: BTreeMap::new(),
            avoid: &AVOID_NONE,
            permit: Permit::Unrestricted,
            crowding: Crowding::default(),
            urgent: false,
            min_speed,
            ends_at: 0,
            kept_empty: 0,
        }
    }
}

impl Demand<'_> {
    /// Number of tasks that fit into `free` resources of an endpoint, or 0 without a valid ticket where one is needed.
    pub fn allowed_tasks(&self, view: &EndpointView, free: &Resources) -> u32 {
        if self.permit.allows(view) {
            self.fitting_tasks(view, free)
        } else {
            0
        }
    }

    /// Number of tasks that fit into `free` resources of an endpoint, whether or not the advice service allows it.
    pub fn fitting_tasks(&self, view: &EndpointView, free: &Resources) -> u32 {
        if view.speed < self.min_speed || !view.has_label(self.label) || self.avoid.contains(&view.name) {
            return 0;
        }
        if self.rack_local_only && !self.rack.is_empty() && !view.is_in_rack(self.rack) {
            return 0;
        }
        free.fit_count(&self.need, self.limit_on(view).min(self.count))
    }

    /// Most further tasks of the step on an endpoint.
    pub fn limit_on(&self, view: &EndpointView) -> u32 {
        if self.per_endpoint_max == 0 {
            return u32::MAX;
        }
        self.per_endpoint_max
            .saturating_sub(self.placed_per_endpoint.get(&view.name).copied().unwrap_or(0))
    }

    /// The same demand without preferences: any rack, any speed, endpoints on which it failed, and endpoints with a
    /// reservation that it would delay.
    #[must_use]
    pub fn without_preferences(&self) -> Self {
        Demand {
            adjacent: false,
            rack_local_only: false,
            avoid: &AVOID_NONE,
            min_speed: 0.0,
            ends_at: 0,
            kept_empty: 0,
            ..self.clone()
        }
    }

    /// The same demand as if the tickets that the advice service may still give were there.
    #[must_use]
    pub fn with_prospects(&self) -> Self {
        let permit = match self.permit {
            Permit::Unrestricted => Permit::Unrestricted,
            permit => Permit::Prospect(permit.tickets()),
        };
        Demand { permit, ..self.clone() }
    }

    /// Whether twice the number of tasks would fit into the available resources.
    pub fn fits_twice(&self, views: &PoolView) -> bool {
        let twice = Demand {
            count: 2 * self.count,
            ..self.clone()
        };
        if !twice.may_fit(views) {
            return false;
        }
        let mut allowed = 0;
        for view in views.iter() {
            allowed += twice.allowed_tasks(view, &view.available());
            if allowed >= twice.count {
                return true;
            }
        }
        false
    }

    /// Whether slow endpoints are excluded.
    fn is_fast_only(&self, views: &PoolView) -> bool {
        self.min_speed > 0.0 && self.min_speed >= views.slow_below()
    }

    /// Whether the unit may fit into what is available; `false` is certain.
    pub fn may_fit(&self, views: &PoolView) -> bool {
        views.may_fit(self.need.accelerators, self.count, self.is_fast_only(views))
    }

    /// Number of empty endpoints that the unit may take.
    pub fn empty_max(&self, views: &PoolView) -> usize {
        if self.kept_empty == 0 || self.need.accelerators == 0 {
            return usize::MAX;
        }
        views.empty_endpoints().saturating_sub(self.kept_empty as usize)
    }

    /// Number of tasks that may start on an endpoint now without delaying a reservation.
    pub fn allowed_tasks_now(&self, view: &EndpointView) -> u32 {
        if view.reserved_from > 0 && self.ends_at > view.reserved_from {
            return 0;
        }
        self.allowed_tasks(view, &view.available())
    }
}

/// Chooses an endpoint for each member by index; `None` if the unit does not fit now.
pub(super) fn place(views: &PoolView, demand: &Demand<'_>) -> Option<Vec<usize>> {
    let slow_below = views.slow_below();
    if !demand.may_fit(views) {
        return None;
    }
    if demand.count == 1 {
        return place_single(views, demand, slow_below).map(|index| vec![index]);
    }
    let empty_max = demand.empty_max(views);
    if !demand.adjacent {
        let all: Vec<usize> = (0..views.len()).collect();
        return fill_group(views, demand, &all, slow_below, empty_max).map(|(_, _, chosen)| chosen);
    }
    let mut best: Option<((bool, bool, u64), Vec<usize>)> = None;
    for (index, rack) in views.racks().iter().enumerate() {
        if !views.may_fit_rack(
            index,
            demand.need.accelerators,
            demand.count,
            demand.is_fast_only(views),
        ) {
            continue;
        }
        let Some((crowded, slow, chosen)) = fill_group(views, demand, &rack.members, slow_below, empty_max) else {
            continue;
        };
        let free_accelerators = rack
            .members
            .iter()
            .map(|index| views[*index].free.accelerators)
            .fold(0, u64::saturating_add);
        let rank = (crowded, slow, free_accelerators);
        if best.as_ref().is_some_and(|(found, _)| *found <= rank) {
            continue;
        }
        best = Some((rank, chosen));
    }
    best.map(|(_, chosen)| chosen)
}

fn place_single(views: &PoolView, demand: &Demand<'_>, slow_below: f64) -> Option<usize> {
    let mut best: Option<(SingleRank, usize)> = None;
    let empty_max = demand.empty_max(views);
    for (index, view) in views.iter().enumerate() {
        if demand.allowed_tasks_now(view) == 0 || empty_max == 0 && view.is_empty() {
            continue;
        }
        let crowded = demand.crowding.endpoints.contains(&index);
        let rank = single_rank(view, demand, crowded, views.rack_place(index), slow_below);
        if best.as_ref().is_some_and(|(found, _)| *found <= rank) {
            continue;
        }
        best = Some((rank, index));
    }
    best.map(|(_, index)| index)
}

/// Order in which endpoints are taken for a single task.
type SingleRank = (bool, bool, bool, u64, u64, usize);

fn single_rank(
    view: &EndpointView,
    demand: &Demand<'_>,
    crowded: bool,
    rack_place: usize,
    slow_below: f64,
) -> SingleRank {
    let far = !demand.rack.is_empty() && !view.is_in_rack(demand.rack);
    let slow = view.speed < slow_below;
    let free = &view.free;
    let slow = slow == demand.urgent;
    (far, crowded, slow, free.accelerators, free.memory_mb, rack_place)
}

/// Chooses endpoints for units with the same demand, as many as fit one after another. More than one unit must be single
/// tasks; a unit with a claim must be alone.
pub(super) fn place_alike(
    views: &PoolView,
    demand: &Demand<'_>,
    units: &[usize],
    claim: Option<&Claim>,
) -> Vec<(usize, Vec<usize>)> {
    let units = units.iter().copied();
    if units.len() <= 1 {
        let chosen = place(views, demand).or_else(|| place_claimed(views, demand, claim?));
        return units.zip(chosen).collect();
    }
    let chosen = place_singles(views, demand, units.len());
    units.zip(chosen.into_iter().map(|index| vec![index])).collect()
}

/// Chooses endpoints for up to `most` single tasks with the same demand: those that [`place`] would choose for one after
/// another.
fn place_singles(views: &PoolView, demand: &Demand<'_>, most: usize) -> Vec<usize> {
    let mut chosen = Vec::new();
    if !demand.may_fit(views) {
        return chosen;
    }
    let slow_below = views.slow_below();
    let mut candidates: BinaryHeap<Reverse<(SingleRank, usize)>> = BinaryHeap::new();
    for (index, view) in views.iter().enumerate() {
        if demand.allowed_tasks_now(view) > 0 {
            let crowded = demand.crowding.endpoints.contains(&index);
            let rank = single_rank(view, demand, crowded, views.rack_place(index), slow_below);
            candidates.push(Reverse((rank, index)));
        }
    }
    let mut empty_left = demand.empty_max(views);
    let mut booked: BTreeMap<usize, (EndpointView, u32)> = BTreeMap::new();
    while chosen.len() < most {
        let Some(Reverse((_, index))) = candidates.pop() else {
            break;
        };
        if views[index].is_empty() && !booked.contains_key(&index) {
            if empty_left == 0 {
                continue;
            }
            empty_left -= 1;
        }
        chosen.push(index);
        let (view, tasks) = booked.entry(index).or_insert_with(|| (views[index].clone(), 0));
        view.free = view.free.minus(&demand.need);
        *tasks += 1;
        let limit = demand.limit_on(view);
        if demand.allowed_tasks_now(view) > 0 && *tasks < limit {
            let crowded = demand.crowding.own_kind || demand.crowding.endpoints.contains(&index);
            let rank = single_rank(view, demand, crowded, views.rack_place(index), slow_below);
            candidates.push(Reverse((rank, index)));
        }
    }
    chosen
}

/// Fills the endpoints of a group: those that are not crowded first, then fast ones, then those with the fewest free
/// accelerators, and among these those in the rack with the least room. Returns whether a crowded one was needed, whether
/// a slow one was, and the endpoint of each member. At most `empty_max` empty endpoints are taken.
fn fill_group(
    views: &PoolView,
    demand: &Demand<'_>,
    group: &[usize],
    slow_below: f64,
    empty_max: usize,
) -> Option<(bool, bool, Vec<usize>)> {
    let mut usable = Vec::new();
    for index in group {
        let allowed = demand.allowed_tasks_now(&views[*index]);
        if allowed == 0 {
            continue;
        }
        let slow = views[*index].speed < slow_below;
        let free = views[*index].free.accelerators;
        let crowded = demand.crowding.endpoints.contains(index);
        if demand.crowding.own_kind && !crowded {
            usable.push((false, slow, free, views.rack_place(*index), *index, 1));
            usable.push((true, slow, free, views.rack_place(*index), *index, allowed - 1));
        } else {
            usable.push((crowded, slow, free, views.rack_place(*index), *index, allowed));
        }
    }
    usable.sort_unstable();
    let mut chosen = Vec::new();
    let (mut any_crowded, mut any_slow) = (false, false);
    let mut empty_left = empty_max;
    for (crowded, slow, _, _, index, allowed) in usable {
        if chosen.len() == demand.count as usize {
            break;
        }
        if views[index].is_empty() && !chosen.contains(&index) {
            if empty_left == 0 {
                continue;
            }
            empty_left -= 1;
        }
        for _ in 0..allowed {
            if chosen.len() == demand.count as usize {
                break;
            }
            any_crowded |= crowded;
            any_slow |= slow;
            chosen.push(index);
        }
    }
    (chosen.len() == demand.count as usize).then_some((any_crowded, any_slow, chosen))
}

/// Endpoints of a claim by index, once each has room for the tasks that it is to take; the claim must not be booked in
/// `views`. The speeds that made them suitable when it was made no longer count, since units were stopped for them.
fn place_claimed(views: &PoolView, demand: &Demand<'_>, claim: &Claim) -> Option<Vec<usize>> {
    let demand = Demand {
        min_speed: 0.0,
        ..demand.clone()
    };
    let mut chosen = Vec::new();
    for (name, tasks) in &claim.tasks_by_endpoint {
        let index = views.index_of(name)?;
        if demand.allowed_tasks(&views[index], &views[index].available()) < *tasks {
            return None;
        }
        chosen.extend(std::iter::repeat_n(index, *tasks as usize));
    }
    Some(chosen)
}

/// Whether some rack could hold the unit if the rack were empty.
pub(super) fn fits_one_rack(views: &PoolView, demand: &Demand<'_>) -> bool {
    let any_rack = !demand.rack_local_only && demand.min_speed <= 0.0 && demand.per_endpoint_max == 0;
    if any_rack && demand.avoid.is_empty() && !demand.permit.needs_ticket() {
        return views.rack_capacity(&demand.need, demand.label) >= demand.count;
    }
    for rack in views.racks() {
        let allowed: u32 = rack
            .members
            .iter()
            .map(|index| demand.allowed_tasks(&views[*index], &views[*index].capacity))
            .sum();
        if allowed >= demand.count {
            return true;
        }
    }
    false
}

/// Finds the group of endpoints in which the unit can start soonest if all runs end as estimated; returns that time and
/// the endpoints. `releases` lists the expected ends and released resources on each endpoint.
pub(super) fn earliest_start(
    views: &PoolView,
    releases: &[Vec<(u64, Resources)>],
    demand: &Demand<'_>,
) -> Option<(u64, Vec<usize>)> {
    let groups = views.groups(demand.adjacent);
    let mut best: Option<(u64, Vec<usize>)> = None;
    for group in groups {
        let mut free: BTreeMap<usize, Resources> =
            group.iter().map(|index| (*index, views[*index].available())).collect();
        let mut allowed: BTreeMap<usize, u32> = group
            .iter()
            .map(|index| (*index, demand.allowed_tasks(&views[*index], &views[*index].available())))
            .collect();
        let mut total: u32 = allowed.values().sum();
        let mut queue: Vec<(u64, usize, Resources)> = Vec::new();
        for index in &group {
            queue.extend(releases[*index].iter().map(|(end, room)| (*end, *index, *room)));
        }
        queue.sort_unstable();
        let mut start_at = 0;
        for (end, index, room) in queue {
            if total >= demand.count {
                break;
            }
            if best.as_ref().is_some_and(|(found, _)| *found <= end) {
                break;
            }
            let Some(free_then) = free.get_mut(&index) else {
                continue;
            };
            *free_then = free_then.plus(&room);
            let now = demand.allowed_tasks(&views[index], free_then);
            let before = allowed.insert(index, now).unwrap_or(0);
            total = total + now - before.min(now);
            start_at = end;
        }
        if total < demand.count || best.as_ref().is_some_and(|(found, _)| *found <= start_at) {
            continue;
        }
        let mut used: Vec<(u32, usize)> = allowed
            .iter()
            .filter(|(_, tasks)| **tasks > 0)
            .map(|(index, tasks)| (*tasks, *index))
            .collect();
        used.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::new();
        let mut covered = 0;
        for (tasks, index) in used {
            if covered >= demand.count {
                break;
            }
            covered += tasks;
            chosen.push(index);
        }
        best = Some((start_at, chosen));
    }
    best
}
