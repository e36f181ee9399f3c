//! Finds endpoints for a unit.
//!
//! A gang whose members slow each other down across racks is placed in one rack, as long as any rack could ever hold it.
//! Work that is not urgent takes slow endpoints and partly used ones first, so that fast and empty ones are left for gangs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Site;
use super::permit::Permit;
use super::pool_view::Sites;
use crate::port::Room;

/// What a unit asks for.
#[derive(Debug, Clone)]
pub(super) struct Demand<'a> {
    /// Room of each task.
    pub need: Room,
    /// Number of tasks.
    pub count: u32,
    /// All in one rack.
    pub adjacent: bool,
    /// Label of the endpoints; empty for any.
    pub label: &'a str,
    /// Rack of the data; empty for any.
    pub rack: &'a str,
    /// Only the rack of the data will do.
    pub near: bool,
    /// Most tasks of the step on one endpoint; 0 for no bound.
    pub spread: u32,
    /// Tasks of the step that each endpoint has already.
    pub peers: BTreeMap<Arc<str>, u32>,
    /// Endpoints on which it failed.
    pub avoid: &'a BTreeSet<Arc<str>>,
    /// What it needs of the advice service.
    pub permit: Permit<'a>,
    /// Fast endpoints come first.
    pub urgent: bool,
    /// Endpoints below this speed are left out.
    pub least_speed: f64,
    /// When it would end, in milliseconds.
    pub ends_at: u64,
}

impl Demand<'_> {
    /// How many of its tasks an endpoint could take with `free` room, if it may.
    pub fn times(&self, site: &Site, free: &Room) -> u32 {
        if self.permit.allows(site) {
            self.fitting(site, free)
        } else {
            0
        }
    }

    /// How many of its tasks fit an endpoint with `free` room.
    pub fn fitting(&self, site: &Site, free: &Room) -> u32 {
        if site.speed < self.least_speed || !site.has(self.label) || self.avoid.contains(&site.name) {
            return 0;
        }
        if self.near && !self.rack.is_empty() && !site.is_in(self.rack) {
            return 0;
        }
        let mut most = self.count;
        if self.spread > 0 {
            most = most.min(
                self.spread
                    .saturating_sub(self.peers.get(&site.name).copied().unwrap_or(0)),
            );
        }
        free.times(&self.need, most)
    }

    /// The same tasks on any endpoint that has room, near or far, fast or slow, also where it would delay a promised start.
    pub fn anywhere<'b>(&self, none: &'b BTreeSet<Arc<str>>) -> Demand<'b>
    where
        Self: 'b,
    {
        Demand {
            adjacent: false,
            near: false,
            avoid: none,
            least_speed: 0.0,
            ends_at: 0,
            ..self.clone()
        }
    }

    /// Whether the open room of all sites would do for it twice.
    pub fn fits_twice(&self, sites: &[Site]) -> bool {
        let twice = Demand {
            count: 2 * self.count,
            ..self.clone()
        };
        let mut times = 0;
        for site in sites {
            times += twice.times(site, &site.open());
            if times >= twice.count {
                return true;
            }
        }
        false
    }

    fn times_now(&self, site: &Site) -> u32 {
        if site.promised > 0 && self.ends_at > site.promised {
            return 0;
        }
        self.times(site, &site.open())
    }
}

/// Site of each member, or `None` if there is no room now.
pub(super) fn place(sites: &Sites, demand: &Demand<'_>) -> Option<Vec<usize>> {
    let fast = sites.slow_below();
    if demand.count == 1 {
        return single(sites, demand, fast).map(|at| vec![at]);
    }
    if !demand.adjacent {
        let all: Vec<usize> = (0..sites.len()).collect();
        return fill(sites, demand, &all, fast).map(|(_, chosen)| chosen);
    }
    let mut best: Option<((bool, u64), Vec<usize>)> = None;
    for group in sites.racks() {
        let Some((slow, chosen)) = fill(sites, demand, group, fast) else {
            continue;
        };
        let left: u64 = group.iter().map(|at| sites[*at].free.accelerators).sum();
        let rank = (slow, left);
        if best.as_ref().is_some_and(|(found, _)| *found <= rank) {
            continue;
        }
        best = Some((rank, chosen));
    }
    best.map(|(_, chosen)| chosen)
}

fn single(sites: &[Site], demand: &Demand<'_>, fast: f64) -> Option<usize> {
    let mut best: Option<((bool, bool, u64, u64), usize)> = None;
    for (at, site) in sites.iter().enumerate() {
        if demand.times_now(site) == 0 {
            continue;
        }
        let far = !demand.rack.is_empty() && !site.is_in(demand.rack);
        let slow = site.speed < fast;
        let rank = (far, slow == demand.urgent, site.free.accelerators, site.free.memory_mb);
        if best.as_ref().is_some_and(|(found, _)| *found <= rank) {
            continue;
        }
        best = Some((rank, at));
    }
    best.map(|(_, at)| at)
}

/// Fills the sites of a group, fast and tight ones first; tells whether a slow one was needed.
fn fill(sites: &[Site], demand: &Demand<'_>, group: &[usize], fast: f64) -> Option<(bool, Vec<usize>)> {
    let mut usable = Vec::new();
    for at in group {
        let times = demand.times_now(&sites[*at]);
        if times == 0 {
            continue;
        }
        usable.push((sites[*at].speed < fast, sites[*at].free.accelerators, *at, times));
    }
    usable.sort_unstable();
    let mut chosen = Vec::new();
    let mut any_slow = false;
    for (slow, _, at, times) in usable {
        for _ in 0..times {
            if chosen.len() == demand.count as usize {
                break;
            }
            any_slow |= slow;
            chosen.push(at);
        }
    }
    (chosen.len() == demand.count as usize).then_some((any_slow, chosen))
}

/// Whether some rack could hold the unit if it were empty.
pub(super) fn fits_a_rack(sites: &Sites, demand: &Demand<'_>) -> bool {
    for group in sites.racks() {
        let times: u32 = group
            .iter()
            .map(|at| demand.times(&sites[*at], &sites[*at].capacity))
            .sum();
        if times >= demand.count {
            return true;
        }
    }
    false
}

/// Rack, or all sites, where room for the unit comes first if what runs ends as estimated: the time and the sites.
/// `ends` lists when room comes free on each site.
pub(super) fn earliest(sites: &Sites, ends: &[Vec<(u64, Room)>], demand: &Demand<'_>) -> Option<(u64, Vec<usize>)> {
    let groups = sites.groups(demand.adjacent);
    let mut best: Option<(u64, Vec<usize>)> = None;
    for group in groups {
        let mut free: BTreeMap<usize, Room> = group.iter().map(|at| (*at, sites[*at].open())).collect();
        let mut times: BTreeMap<usize, u32> = group
            .iter()
            .map(|at| (*at, demand.times(&sites[*at], &sites[*at].open())))
            .collect();
        let mut total: u32 = times.values().sum();
        let mut queue: Vec<(u64, usize, Room)> = Vec::new();
        for at in &group {
            queue.extend(ends[*at].iter().map(|(end, room)| (*end, *at, *room)));
        }
        queue.sort_unstable();
        let mut when = 0;
        for (end, at, room) in queue {
            if total >= demand.count {
                break;
            }
            if best.as_ref().is_some_and(|(found, _)| *found <= end) {
                break;
            }
            let Some(have) = free.get_mut(&at) else { continue };
            *have = have.plus(&room);
            let now = demand.times(&sites[at], have);
            let before = times.insert(at, now).unwrap_or(0);
            total = total + now - before.min(now);
            when = end;
        }
        if total < demand.count || best.as_ref().is_some_and(|(found, _)| *found <= when) {
            continue;
        }
        let mut used: Vec<(u32, usize)> = times.iter().filter(|(_, n)| **n > 0).map(|(at, n)| (*n, *at)).collect();
        used.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::new();
        let mut covered = 0;
        for (n, at) in used {
            if covered >= demand.count {
                break;
            }
            covered += n;
            chosen.push(at);
        }
        best = Some((when, chosen));
    }
    best
}
