//! Gives room to waiting units.
//!
//! A round goes through the jobs in order. What finds no room now may preempt others if it is urgent; for the first blocked
//! gangs the endpoints where they can start soonest are kept free of work that would delay them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::advice::{TRANSIT_MS, worth_asking};
use super::endpoint::Occupant;
use super::job::weight;
use super::permit::Permit;
use super::place::{self, Demand};
use super::pool_view::Sites;
use super::preempt::hold_back;
use super::rank::Rank;
use super::speed;
use super::{Dispatcher, Endpoint, Job, Member, MemberState, Site, Start, Unit, UnitState};
use crate::graph::Phase;
use crate::port::Room;

impl Dispatcher {
    /// Sites of a pool with the room that is free.
    pub(super) fn sites(&self, pool: &str, now: u64) -> Sites {
        let clearing = self
            .jobs
            .values()
            .any(|job| job.units.iter().any(|unit| unit.state == UnitState::Clearing));
        let mut sites = Vec::new();
        for (name, endpoint) in &self.endpoints {
            if *endpoint.entry.pool != *pool || !endpoint.is_open(now) {
                continue;
            }
            sites.push(Site {
                name: Arc::clone(name),
                born: endpoint.entry.born,
                rack: endpoint.entry.rack.clone(),
                labels: endpoint.entry.labels.clone(),
                capacity: endpoint.entry.capacity,
                free: endpoint.free(),
                clearing: if clearing {
                    self.clearing(endpoint, now)
                } else {
                    Room::default()
                },
                held: Room::default(),
                speed: endpoint.pace.estimate(self.typical).exp(),
                promised: 0,
            });
        }
        Sites::new(sites)
    }

    /// Room of the runs on an endpoint that are being stopped.
    pub(super) fn clearing(&self, endpoint: &Endpoint, now: u64) -> Room {
        let mut room = Room::default();
        for occupant in endpoint.runs.values() {
            let unit = self
                .jobs
                .get(&occupant.job)
                .and_then(|job| job.units.get(occupant.unit));
            // A stop that takes longer has gone wrong; its room may not come free for some time.
            let recent = |unit: &&Unit| now.saturating_sub(unit.cleared_at) < self.tuning.claim_ms;
            if unit
                .filter(recent)
                .is_some_and(|unit| unit.state == UnitState::Clearing)
            {
                room = room.plus(&occupant.room);
            }
        }
        room
    }

    /// Gives room to waiting units, in order.
    pub(super) fn round(&mut self, now: u64, wall_ms: u64) {
        self.typical = speed::typical(self.endpoints.values().map(|endpoint| &endpoint.pace));
        self.claims.retain(|_, claim| claim.since + self.tuning.claim_ms > now);
        let mut order: Vec<(Rank, Arc<str>)> = Vec::new();
        for (id, job) in &self.jobs {
            if job.phase.is_final() || job.queue.is_none() {
                continue;
            }
            if !job.units.iter().any(|unit| unit.state == UnitState::Waiting) {
                continue;
            }
            order.push((Rank::of(job, &self.works, now), Arc::clone(id)));
        }
        order.sort_unstable();
        let mut pools: BTreeMap<Arc<str>, Sites> = BTreeMap::new();
        let mut reserved = 0;
        for (rank, id) in order {
            let job = &self.jobs[&id];
            let Some(queue) = job.queue.clone() else { continue };
            if self.policy.pools.get(&queue.pool).is_some_and(|pool| pool.standby) {
                continue;
            }
            let sites = pools.remove(&queue.pool).unwrap_or_else(|| {
                let mut sites = self.sites(&queue.pool, now);
                for claim in self.claims.values() {
                    hold_back(&mut sites, claim, false);
                }
                sites
            });
            let sites = self.serve(&id, rank, sites, &mut reserved, now, wall_ms);
            pools.insert(Arc::clone(&queue.pool), sites);
        }
    }

    /// Places what it can of one job.
    pub(super) fn serve(
        &mut self,
        id: &Arc<str>,
        rank: Rank,
        mut sites: Sites,
        reserved: &mut usize,
        now: u64,
        wall_ms: u64,
    ) -> Sites {
        // Equal tasks of a step that found no room need not be tried again.
        let mut failed: BTreeSet<(u32, usize)> = BTreeSet::new();
        let mut due: BTreeMap<(u32, usize), bool> = BTreeMap::new();
        let none = BTreeSet::new();
        let mut idle: BTreeSet<(u32, usize)> = BTreeSet::new();
        let mut questions: BTreeMap<(u32, usize), Vec<Arc<str>>> = BTreeMap::new();
        let units = self.jobs[id].units.len();
        for position in 0..units {
            let job = &self.jobs[id];
            let unit = &job.units[position];
            if unit.state != UnitState::Waiting || unit.not_before > now {
                continue;
            }
            let kind = (unit.occurrence, unit.step);
            if !*due.entry(kind).or_insert_with(|| job.is_due(position, wall_ms)) {
                continue;
            }
            if failed.contains(&kind) {
                continue;
            }
            let claim = self.claims.get(&(Arc::clone(id), position)).cloned();
            if let Some(claim) = &claim {
                hold_back(&mut sites, claim, true);
            }
            let mut demand = self.demand(&sites, id, position, &rank, now);
            if let Some(claim) = &claim {
                demand.adjacent = claim.adjacent;
                demand.least_speed = claim.least_speed;
            } else if rank.is_urgent() {
                // On a slow endpoint it would be late, and would keep its room for longer.
                demand.least_speed = sites.slow_below();
            }
            if let Some(chosen) = place::place(&sites, &demand) {
                self.claims.remove(&(Arc::clone(id), position));
                self.start(id, position, &mut sites, &chosen, now);
                continue;
            }
            if demand.permit.is_needed() {
                questions.entry(kind).or_insert_with(|| worth_asking(&sites, &demand));
            }
            if claim.is_none()
                && sites.is_idle()
                && let anywhere = demand.anywhere(&none)
                && anywhere.fits_twice(&sites)
            {
                idle.insert(kind);
                let since = job.idle_since.get(&kind).copied().unwrap_or(now);
                if now - since >= self.tuning.idle_ms
                    && let Some(chosen) = place::place(&sites, &anywhere)
                {
                    log::info!(job:% = id, unit = position, waited_ms = now - since; "placed where it is slower, beside idle endpoints");
                    self.start(id, position, &mut sites, &chosen, now);
                    continue;
                }
            }
            if unit.avoid.is_empty() {
                failed.insert(kind);
            } else {
                // The endpoints on which it failed are better than none.
                let relaxed = Demand {
                    avoid: &none,
                    ..self.demand(&sites, id, position, &rank, now)
                };
                if sites.iter().all(|site| demand.times(site, &site.capacity) == 0)
                    && let Some(chosen) = place::place(&sites, &relaxed)
                {
                    self.start(id, position, &mut sites, &chosen, now);
                    continue;
                }
            }
            if let Some(claim) = &claim {
                hold_back(&mut sites, claim, false);
                continue;
            }
            if rank.is_urgent() {
                self.press(id, position, &mut sites, &rank, now);
            } else if demand.count > 1 && *reserved < self.tuning.reservations {
                *reserved += 1;
                self.reserve(id, position, &mut sites, &rank, now);
            }
        }
        for (kind, endpoints) in questions {
            self.ask(id, kind, endpoints, now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.idle_since.retain(|kind, _| idle.contains(kind));
            for kind in idle {
                job.idle_since.entry(kind).or_insert(now);
            }
        }
        sites
    }

    /// Makes room for an urgent unit at the cost of others, or takes slow endpoints.
    fn press(&mut self, id: &Arc<str>, position: usize, sites: &mut Sites, rank: &Rank, now: u64) {
        let mut demand = self.demand(sites, id, position, rank, now);
        demand.least_speed = sites.slow_below();
        let owed = self.is_pressing(id, now) && self.is_owed(id, &self.claimed());
        let mut plan = self.plan_claim(sites, &demand, false, now).filter(|(_, victims)| {
            let cost: f64 = victims.iter().map(|victim| victim.cost).sum();
            owed || !rank.is_late() && cost <= self.claim_limit(id, position, now)
        });
        demand.least_speed = 0.0;
        let slow = if plan.is_none() {
            place::place(sites, &demand)
        } else {
            None
        };
        if owed && plan.is_none() && slow.is_none() {
            plan = self.plan_claim(sites, &demand, true, now);
            if plan.is_none() && demand.adjacent {
                demand.adjacent = false;
                plan = self.plan_claim(sites, &demand, true, now);
            }
        }
        if let Some((claim, victims)) = plan {
            self.preempt(id, position, sites, claim, victims, now);
        } else if let Some(chosen) = slow {
            self.start(id, position, sites, &chosen, now);
        }
    }

    /// What a unit asks for.
    pub(super) fn demand(&self, sites: &Sites, id: &Arc<str>, position: usize, rank: &Rank, now: u64) -> Demand<'_> {
        let job = &self.jobs[id];
        let unit = &job.units[position];
        let step = job.step(position);
        let mut peers: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        if step.spread > 0 {
            for other in &job.units {
                if other.step != unit.step || other.occurrence != unit.occurrence {
                    continue;
                }
                for member in other.members.iter().filter(|member| member.holds_room()) {
                    *peers.entry(Arc::clone(&member.endpoint)).or_default() += 1;
                }
            }
        }
        let permit = match job.queue.as_ref().and_then(|queue| queue.advice) {
            Some(_) => Permit::Ticket(job.tickets.get(&(unit.occurrence, unit.step)), now + TRANSIT_MS),
            None => Permit::Free,
        };
        let mut demand = Demand {
            need: job.need(position),
            count: unit.size,
            adjacent: step.adjacent,
            label: &step.label,
            rack: &step.rack,
            near: false,
            spread: step.spread,
            peers,
            avoid: &unit.avoid,
            permit,
            urgent: rank.is_urgent(),
            least_speed: 0.0,
            ends_at: now + job.expected_ms(step, &self.works) as u64,
        };
        // Work away from its data takes several times as long, so it waits for the rack for about one run.
        let waited = now.saturating_sub(job.accepted);
        demand.near = !step.rack.is_empty()
            && (waited as f64) < 2.0 * job.expected_ms(step, &self.works)
            && sites.iter().any(|site| site.is_in(&step.rack));
        if demand.adjacent && demand.count > 1 {
            demand.adjacent = place::fits_a_rack(sites, &demand);
        }
        demand
    }

    /// Gives a unit its endpoints.
    pub(super) fn start(&mut self, id: &Arc<str>, position: usize, sites: &mut Sites, chosen: &[usize], now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let need = job.need(position);
        let names: Vec<Arc<str>> = (0..chosen.len()).map(|at| job.task(position, at as u32)).collect();
        let payload = Arc::clone(&job.payload);
        let unit = &mut job.units[position];
        let tickets = job.tickets.get(&(unit.occurrence, unit.step));
        unit.run += 1;
        unit.state = UnitState::Active;
        unit.placed_at = now;
        unit.members.clear();
        for (at, (site, task)) in chosen.iter().zip(names).enumerate() {
            let site = &mut sites[*site];
            site.free = site.free.minus(&need);
            let Some(endpoint) = self.endpoints.get_mut(&site.name) else {
                continue;
            };
            let occupant = Occupant {
                job: Arc::clone(id),
                unit: position,
                member: at,
                room: need,
            };
            endpoint.occupy(Arc::clone(&task), unit.run, occupant);
            unit.members.push(Member {
                endpoint: Arc::clone(&site.name),
                born: endpoint.entry.born,
                task: Arc::clone(&task),
                state: MemberState::Planned,
                percent: 0.0,
                moved_at: now,
                base: None,
            });
            let ticket = tickets.and_then(|tickets| tickets.valid(&site.name, endpoint.entry.born, now));
            self.starts.push(Start {
                ticket: ticket.cloned().unwrap_or_else(|| Arc::from("")),
                job: Arc::clone(id),
                unit: position,
                member: at,
                run: unit.run,
                endpoint: Arc::clone(&site.name),
                task,
                payload: Arc::clone(&payload),
                checkpoint: Arc::clone(&unit.checkpoint),
            });
        }
        let (run, size) = (unit.run, unit.size);
        if job.phase == Phase::Queued {
            job.phase = Phase::Running;
        }
        self.counts.starts += 1;
        let priority = job.queue.as_ref().map_or(0, |queue| queue.priority);
        let step = job.step(position);
        let (saves, cores) = (step.checkpoints, weight(&need));
        let expected_ms = job.expected_ms(step, &self.works) as u64;
        let waited_ms = now.saturating_sub(job.accepted);
        log::info!(job:% = id, unit = position, run, size, priority, saves, cores, expected_ms, waited_ms; "unit placed");
        self.dirty.insert(Arc::clone(id));
    }

    /// Keeps the sites where a blocked gang can start first for it.
    pub(super) fn reserve(&self, id: &Arc<str>, position: usize, sites: &mut Sites, rank: &Rank, now: u64) {
        let demand = self.demand(sites, id, position, rank, now);
        let ends: Vec<Vec<(u64, Room)>> = sites.iter().map(|site| self.ends(&site.name, now)).collect();
        let Some((when, chosen)) = place::earliest(sites, &ends, &demand) else {
            return;
        };
        for at in chosen {
            let site = &mut sites[at];
            if site.promised == 0 || site.promised > when {
                site.promised = when.max(now + 1);
            }
        }
    }

    /// When room comes free on an endpoint, as far as can be told.
    pub(super) fn ends(&self, name: &Arc<str>, now: u64) -> Vec<(u64, Room)> {
        let mut ends = Vec::new();
        for occupant in self.endpoints[name].runs.values() {
            let Some(job) = self.jobs.get(&occupant.job) else {
                continue;
            };
            let unit = &job.units[occupant.unit];
            if unit.members.get(occupant.member).is_none() {
                continue;
            }
            let left = self.left_ms(job, occupant.unit, now);
            ends.push((now + left, occupant.room));
        }
        ends
    }
    /// How long a unit goes on, as far as can be told, in milliseconds.
    pub(super) fn left_ms(&self, job: &Job, position: usize, now: u64) -> u64 {
        let unit = &job.units[position];
        if unit.state != UnitState::Active {
            return 0;
        }
        let worked = now.saturating_sub(unit.placed_at);
        // The members of a gang end together.
        let percent = unit.members.iter().map(|member| member.percent).fold(100.0, f64::min);
        if percent > 5.0 {
            (worked as f64 * (100.0 - percent) / percent) as u64
        } else {
            let estimate = job.expected_ms(job.step(position), &self.works) as u64;
            estimate.saturating_sub(worked)
        }
    }
}
