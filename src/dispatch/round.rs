//! Scheduling rounds: placement of waiting units.
//!
//! A round serves the jobs in the order of their ranks. An urgent unit that fits nowhere may preempt others. For the
//! first few blocked gangs, the endpoints on which each can start soonest are reserved: no work is placed there that
//! would delay it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::endpoint::PlacedRun;
use super::job::core_equivalents;
use super::permit::Permit;
use super::place::{self, AVOID_NONE, Demand};
use super::pool_view::PoolView;
use super::rank::Rank;
use super::record_room::RecordRoom;
use super::round_cache::RoundCache;
use super::speed;
use super::urgent_choice::UrgentChoice;
use super::{Dispatcher, Endpoint, EndpointView, Job, Member, MemberState, Start, UnitState, WorkEstimates};
use crate::graph::Phase;

/// Number of units that may be stopped for each millisecond until they are looked at again. Bounds the share of time
/// that the search takes on a large fleet; a fleet of some hundred endpoints is searched in each round.
const VICTIMS_PER_MS: u64 = 200;

impl Dispatcher {
    /// Snapshot of the endpoints of a pool that accept new work; keeps what has not changed since the last round.
    fn pool_view(&mut self, pool: &Arc<str>, now: u64) -> PoolView {
        let kept = self.pool_views.remove(pool);
        let kept = kept.filter(|view| view.revision == self.list_revision);
        let kept = kept.and_then(|view| self.refresh(view, pool, now));
        let mut view = kept.unwrap_or_else(|| self.empty_view(pool, now));
        self.fill_view(&mut view, pool, now);
        view
    }

    /// Snapshot of the endpoints of a pool that accept new work; [`fill_view`](Self::fill_view) has to follow.
    pub(super) fn empty_view(&self, pool: &str, now: u64) -> PoolView {
        let open = self.open_endpoints_of(pool, now);
        let views = open.map(|(name, endpoint)| EndpointView::new(name, endpoint));
        PoolView::new(views.collect(), self.list_revision)
    }

    /// Brings a snapshot that names the endpoints that accept work now up to date.
    pub(super) fn fill_view(&self, view: &mut PoolView, pool: &str, now: u64) {
        let typical_log_speed = self.typical_log_speed;
        let open = self.open_endpoints_of(pool, now);
        for (view, (_, endpoint)) in view.views_mut().iter_mut().zip(open) {
            view.update(endpoint, typical_log_speed);
        }
        self.add_terminating(view, now);
        view.count();
        for claim in self.claims.values() {
            claim.apply(view, false);
        }
    }

    /// The endpoints of a pool on which work may be placed, by name.
    fn open_endpoints_of(&self, pool: &str, now: u64) -> impl Iterator<Item = (&Arc<str>, &Endpoint)> {
        self.endpoints
            .iter()
            .filter(move |(_, endpoint)| *endpoint.entry.pool == *pool && self.accepts_work(endpoint, now))
    }

    /// Returns a kept snapshot if it names the endpoints that accept work now.
    fn refresh(&self, view: PoolView, pool: &str, now: u64) -> Option<PoolView> {
        let mut open = self.open_endpoints_of(pool, now);
        let same = view
            .iter()
            .all(|kept| open.next().is_some_and(|(name, _)| Arc::ptr_eq(name, &kept.name)));
        (same && open.next().is_none()).then_some(view)
    }

    /// Adds the resources of the runs that are being stopped to the views of their endpoints.
    fn add_terminating(&self, pool: &mut PoolView, now: u64) {
        for job in self.jobs.values() {
            for position in job.index.terminating.iter().copied() {
                let unit = &job.units[position];
                // A stop that takes longer has failed, and nobody knows when its resources will be free.
                if now.saturating_sub(unit.given_up_at) >= self.tuning.claim_timeout_ms {
                    continue;
                }
                let need = job.need(position);
                for member in unit.members.iter().filter(|member| member.holds_room()) {
                    if let Some(index) = pool.index_of(&member.endpoint) {
                        let view = &mut pool.views_mut()[index];
                        view.terminating = view.terminating.plus(&need);
                    }
                }
            }
        }
    }

    /// Runs a scheduling round: places waiting units in the order of their jobs' ranks.
    pub(super) fn round(&mut self, now: u64, wall_ms: u64) {
        self.typical_log_speed =
            speed::typical_log_speed(self.endpoints.values().map(|endpoint| &endpoint.speed_estimate));
        self.drop_claims(now);
        let mut ranked: Vec<(Rank, Arc<str>)> = Vec::new();
        for (id, job) in &self.jobs {
            if job.phase.is_final() || job.queue.is_none() || job.index.waiting.is_empty() {
                continue;
            }
            if self.suspended.contains(id) {
                continue;
            }
            ranked.push((Rank::of(job, &self.work_estimates, now), Arc::clone(id)));
        }
        ranked.sort_unstable();
        self.observe_room(now, wall_ms);
        self.log_rooms(now);
        let mut pools: BTreeMap<Arc<str>, (PoolView, RoundCache)> = BTreeMap::new();
        for (rank, id) in ranked {
            let job = &self.jobs[&id];
            let Some(queue) = job.queue.clone() else { continue };
            if self.config.pools.get(&queue.pool).is_some_and(|pool| pool.standby) {
                continue;
            }
            let (mut views, mut cache) = pools
                .remove(&queue.pool)
                .unwrap_or_else(|| (self.pool_view(&queue.pool, now), RoundCache::default()));
            self.place_job(&id, rank, &mut views, &mut cache, now, wall_ms);
            pools.insert(Arc::clone(&queue.pool), (views, cache));
        }
        self.reservations.clear();
        let mut advice = Vec::new();
        for (pool, (views, mut cache)) in pools {
            advice.append(&mut cache.advice);
            if let Some(victims) = cache.victims_looked_at() {
                self.claims_due = now + victims as u64 / VICTIMS_PER_MS;
            }
            self.reservations.append(&mut cache.reservations);
            self.pool_views.insert(pool, views);
        }
        self.request_advice(advice, now);
        self.log_urgent_waits(now);
    }

    /// Places the units of one job as far as they fit, and books them in the snapshot of the pool.
    fn place_job(
        &mut self,
        id: &Arc<str>,
        rank: Rank,
        views: &mut PoolView,
        cache: &mut RoundCache,
        now: u64,
        wall_ms: u64,
    ) {
        // If one task of a step does not fit, the equal ones after it are not tried.
        let mut unplaceable: BTreeSet<(u32, usize)> = BTreeSet::new();
        let mut due_steps: BTreeMap<(u32, usize), bool> = BTreeMap::new();
        let mut idle_steps: BTreeSet<(u32, usize)> = BTreeSet::new();
        let mut advised_steps: BTreeSet<(u32, usize)> = BTreeSet::new();
        let waiting: Vec<usize> = self.jobs[id].index.waiting.iter().copied().collect();
        let mut record_room = RecordRoom::of(&self.jobs[id], views);
        for (offset, position) in waiting.iter().copied().enumerate() {
            let job = &self.jobs[id];
            let unit = &job.units[position];
            // An earlier unit of the step may have been placed together with this one.
            if unit.state != UnitState::Waiting || unit.not_before > now {
                continue;
            }
            let step_key = (unit.occurrence, unit.step);
            if unplaceable.contains(&step_key) {
                continue;
            }
            if !*due_steps
                .entry(step_key)
                .or_insert_with(|| job.is_due(position, wall_ms))
            {
                continue;
            }
            let recordable = record_room
                .as_ref()
                .map_or(usize::MAX, |room| room.units(job, position));
            if recordable == 0 {
                unplaceable.insert(step_key);
                continue;
            }
            let claim = self.claims.get(&(Arc::clone(id), position)).cloned();
            if claim.is_none() && self.is_hopeless(id, position, views, cache, &rank) {
                unplaceable.insert(step_key);
                continue;
            }
            if let Some(claim) = &claim {
                claim.apply(views, true);
            }
            let mut demand = self.demand(views, id, position, &rank, now);
            if let Some(claim) = &claim {
                demand.adjacent = claim.adjacent;
                demand.min_speed = claim.min_speed;
            } else if rank.is_urgent() {
                // On a slow endpoint it would be late and occupy its resources for longer.
                demand.min_speed = views.slow_below();
            }
            let mut alike = if claim.is_none() {
                self.units_alike(id, &waiting[offset..], now)
            } else {
                vec![position]
            };
            alike.truncate(recordable);
            let chosen = place::place_alike(views, &demand, &alike, claim.as_ref());
            if let Some(room) = &mut record_room {
                // Without a place now, the unit may still be placed in another way below.
                for position in alike.iter().take(chosen.len().max(1)) {
                    room.take(&self.jobs[id], *position);
                }
            }
            if !chosen.is_empty() {
                for (position, chosen) in chosen {
                    self.claims.remove(&(Arc::clone(id), position));
                    self.start_unit(id, position, views, &chosen, now);
                }
                continue;
            }
            if demand.permit.needs_ticket() && advised_steps.insert(step_key) {
                let wanted = self.advice_candidate(id, step_key, &rank, views, &demand, now);
                cache.advice.extend(wanted);
            }
            if claim.is_none()
                && let Some(idle_since) = self.idle_since(id, step_key, views, &demand, now)
            {
                idle_steps.insert(step_key);
                if now - idle_since >= self.tuning.idle_pool_wait_ms
                    && let Some(chosen) = place::place(views, &demand.without_preferences())
                {
                    log::info!(job:% = id, unit = position, waited_ms = now - idle_since; "unit placed on less suitable endpoints after waiting in a half-idle pool");
                    self.start_unit(id, position, views, &chosen, now);
                    continue;
                }
            }
            if unit.avoid.is_empty() {
                unplaceable.insert(step_key);
            } else if let Some(chosen) = self.place_where_it_failed(views, &demand, id, position, &rank, now) {
                self.start_unit(id, position, views, &chosen, now);
                continue;
            }
            if let Some(claim) = &claim {
                claim.apply(views, false);
                continue;
            }
            if rank.is_urgent() {
                self.place_urgent(id, position, views, cache, &rank, now);
                continue;
            }
            self.reserve(id, position, views, cache, &rank, now);
            if self.awaits_advice(id, step_key, &demand, cache, now) {
                cache.keep_for_advice(views, &demand);
            }
        }
        self.note_idle_steps(id, &idle_steps, now);
    }

    /// Chooses among all endpoints for a unit if none on which it has not failed can ever meet its `demand`, or if its task
    /// lasts: nobody knows when an endpoint that is full now will have room.
    fn place_where_it_failed(
        &self,
        views: &PoolView,
        demand: &Demand<'_>,
        id: &Arc<str>,
        position: usize,
        rank: &Rank,
        now: u64,
    ) -> Option<Vec<usize>> {
        let job = &self.jobs[id];
        if job.step(position).lasting {
            let placed_at = job.units[position].placed_at;
            if now.saturating_sub(placed_at) < self.tuning.lasting_restart_ms {
                return None;
            }
        } else {
            let demand = demand.with_prospects();
            if views.iter().any(|view| demand.allowed_tasks(view, &view.capacity) > 0) {
                return None;
            }
        }
        let relaxed = Demand {
            avoid: &AVOID_NONE,
            ..self.demand(views, id, position, rank, now)
        };
        place::place(views, &relaxed)
    }

    /// Notes which steps of a job wait beside an idle half of their pool.
    fn note_idle_steps(&mut self, id: &Arc<str>, steps: &BTreeSet<(u32, usize)>, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.idle_since.retain(|step_key, _| steps.contains(step_key));
        for step_key in steps {
            job.idle_since.entry(*step_key).or_insert(now);
        }
    }

    /// Since when units of a step have been waiting beside an idle half of the pool, in milliseconds; `None` if less than
    /// twice what the demand needs is free there.
    fn idle_since(
        &self,
        id: &Arc<str>,
        step_key: (u32, usize),
        views: &PoolView,
        demand: &Demand<'_>,
        now: u64,
    ) -> Option<u64> {
        if !views.is_idle() || !demand.without_preferences().fits_twice(views) {
            return None;
        }
        let since = self.jobs[id].idle_since.get(&step_key);
        Some(since.copied().unwrap_or(now))
    }

    /// Whether a unit certainly fits nowhere in this round and may not claim or reserve anything, either.
    fn is_hopeless(&self, id: &Arc<str>, position: usize, views: &PoolView, cache: &RoundCache, rank: &Rank) -> bool {
        let job = &self.jobs[id];
        let unit = &job.units[position];
        if rank.is_urgent() || views.is_idle() || !unit.avoid.is_empty() {
            return false;
        }
        if unit.size > 1 && cache.reservations.len() < self.tuning.reservations_max {
            return false;
        }
        if job.queue.as_ref().is_some_and(|queue| queue.advice.is_some()) {
            return false;
        }
        !views.may_fit(job.step(position).accelerators, unit.size, false)
    }

    /// The first of these waiting units and, if it is a single task without a failed run, those directly after it that may
    /// run wherever it may: further such tasks of its step.
    pub(super) fn units_alike(&self, id: &Arc<str>, waiting: &[usize], now: u64) -> Vec<usize> {
        let units = &self.jobs[id].units;
        let first = &units[waiting[0]];
        if first.size > 1 || !first.avoid.is_empty() {
            return vec![waiting[0]];
        }
        let mut alike = Vec::new();
        for position in waiting.iter().copied() {
            let unit = &units[position];
            if (unit.occurrence, unit.step) != (first.occurrence, first.step) {
                break;
            }
            if unit.state != UnitState::Waiting || unit.not_before > now || !unit.avoid.is_empty() {
                continue;
            }
            if !self.claims.contains_key(&(Arc::clone(id), position)) {
                alike.push(position);
            }
        }
        alike
    }

    /// Places an urgent unit that does not fit, unless victims have been looked for shortly before.
    fn place_urgent(
        &mut self,
        id: &Arc<str>,
        position: usize,
        views: &mut PoolView,
        cache: &mut RoundCache,
        rank: &Rank,
        now: u64,
    ) {
        if now < self.claims_due {
            return;
        }
        match self.choose_urgent(id, position, views, cache, rank, now) {
            Some(UrgentChoice::Claim(plan)) => self.preempt(id, position, views, plan, cache, now),
            Some(UrgentChoice::Start(chosen)) => self.start_unit(id, position, views, &chosen, now),
            None => {}
        }
    }

    /// Decides for an urgent unit that does not fit: preempts others, or else takes slow endpoints.
    pub(super) fn choose_urgent(
        &self,
        id: &Arc<str>,
        position: usize,
        views: &PoolView,
        cache: &mut RoundCache,
        rank: &Rank,
        now: u64,
    ) -> Option<UrgentChoice> {
        let mut demand = self.demand(views, id, position, rank, now);
        demand.min_speed = views.slow_below();
        let guarantee_due = self.guarantee_is_due(id, now)
            && cache
                .guaranteed
                .get_or_insert_with(|| self.guaranteed_jobs())
                .contains(id);
        let mut plan = self
            .plan_claim(views, &demand, false, cache, now)
            .filter(|plan| guarantee_due || !rank.is_late() && plan.cost <= self.claim_limit(id, position, now));
        demand.min_speed = 0.0;
        let slow = if plan.is_none() {
            place::place(views, &demand)
        } else {
            None
        };
        if guarantee_due && plan.is_none() && slow.is_none() {
            plan = self.plan_claim(views, &demand, true, cache, now);
            if plan.is_none() && demand.adjacent {
                demand.adjacent = false;
                plan = self.plan_claim(views, &demand, true, cache, now);
            }
        }
        plan.map(UrgentChoice::Claim).or(slow.map(UrgentChoice::Start))
    }

    /// Requirements of a unit on its endpoints.
    pub(super) fn demand(&self, views: &PoolView, id: &Arc<str>, position: usize, rank: &Rank, now: u64) -> Demand<'_> {
        let job = &self.jobs[id];
        let unit = &job.units[position];
        let step = job.step(position);
        let mut placed_per_endpoint: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        if step.per_endpoint_max > 0 {
            for other in &job.units {
                if other.step != unit.step || other.occurrence != unit.occurrence {
                    continue;
                }
                for member in other.members.iter().filter(|member| member.holds_room()) {
                    *placed_per_endpoint.entry(Arc::clone(&member.endpoint)).or_default() += 1;
                }
            }
        }
        let permit = match job.queue.as_ref().and_then(|queue| queue.advice) {
            Some(_) => Permit::Ticket(job.tickets.get(&(unit.occurrence, unit.step)), now),
            None => Permit::Unrestricted,
        };
        let mut demand = Demand {
            need: job.need(position),
            count: unit.size,
            adjacent: step.adjacent,
            label: &step.label,
            rack: &step.rack,
            rack_local_only: false,
            per_endpoint_max: step.per_endpoint_max,
            placed_per_endpoint,
            avoid: &unit.avoid,
            permit,
            crowding: self.crowding(views, job.kind(position)),
            urgent: rank.is_urgent(),
            min_speed: 0.0,
            ends_at: now.saturating_add(job.expected_ms(step, &self.work_estimates) as u64),
            kept_empty: self.kept_empty(job, views),
        };
        // Work away from its data takes several times as long, so it waits for the rack for twice the expected time of
        // a run.
        let waited = now.saturating_sub(job.accepted_at);
        demand.rack_local_only = !step.rack.is_empty()
            && (waited as f64) < 2.0 * job.expected_ms(step, &self.work_estimates)
            && views.iter().any(|view| view.is_in_rack(&step.rack));
        if demand.adjacent && demand.count > 1 {
            demand.adjacent = place::fits_one_rack(views, &demand);
        }
        demand
    }

    /// Places a unit on the chosen endpoints; the starts are released once the record is stored.
    pub(super) fn start_unit(
        &mut self,
        id: &Arc<str>,
        position: usize,
        views: &mut PoolView,
        chosen: &[usize],
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let need = job.need(position);
        let names: Vec<Arc<str>> = (0..chosen.len())
            .map(|index| job.task(position, index as u32))
            .collect();
        let payload = Arc::clone(&job.payload);
        let kind = Arc::clone(job.kind(position));
        let expected_ms = job.expected_ms(job.step(position), &self.work_estimates) as u64;
        let ends_at = now.saturating_add(expected_ms);
        job.set_state(position, UnitState::Active);
        let unit = &mut job.units[position];
        let mut tickets = job.tickets.get_mut(&(unit.occurrence, unit.step));
        if let Some(tickets) = &mut tickets {
            tickets.unused_answers = 0;
        }
        unit.next_run();
        unit.placed_at = now;
        unit.members.clear();
        for (index, (view_index, task)) in chosen.iter().zip(names).enumerate() {
            views.take(*view_index, &need);
            let view = &views[*view_index];
            let Some(endpoint) = self.endpoints.get_mut(&view.name) else {
                continue;
            };
            let placed_run = PlacedRun {
                job: Arc::clone(id),
                unit: position,
                member: index,
                kind: Arc::clone(&kind),
                room: need,
                ends_at,
            };
            endpoint.add_run(Arc::clone(&task), unit.run, placed_run);
            let (name, born) = (Arc::clone(&view.name), endpoint.entry.born);
            let member = Member::new(index as u32, name, born, Arc::clone(&task), MemberState::Planned, now);
            unit.members.push(member);
            let ticket = tickets
                .as_ref()
                .and_then(|tickets| tickets.usable_ticket(&view.name, endpoint.entry.born, now));
            self.starts.push(Start {
                ticket: ticket.cloned().unwrap_or_else(|| Arc::from("")),
                job: Arc::clone(id),
                unit: position,
                member: index,
                run: unit.run,
                endpoint: Arc::clone(&view.name),
                born: endpoint.entry.born,
                task,
                payload: Arc::clone(&payload),
                checkpoint: Arc::clone(&unit.checkpoint),
            });
        }
        let (run, size) = (unit.run, unit.size);
        let endpoints: Vec<&str> = unit.members.iter().map(|member| &*member.endpoint).collect();
        let endpoints = endpoints.join(",");
        if job.phase == Phase::Queued {
            job.phase = Phase::Running;
        }
        self.counts.starts += 1;
        let priority = job.queue.as_ref().map_or(0, |queue| queue.priority);
        let step = job.step(position);
        let (saves, cores) = (step.checkpoints, core_equivalents(&need));
        let waited_ms = now.saturating_sub(job.accepted_at);
        log::info!(job:% = id, unit = position, run, size, priority, saves, cores, expected_ms, waited_ms, endpoints; "unit placed");
        self.dirty.insert(Arc::clone(id));
    }
}

/// Expected remaining time of a unit, in milliseconds.
pub(super) fn remaining_ms(job: &Job, position: usize, work_estimates: &WorkEstimates, now: u64) -> u64 {
    let unit = &job.units[position];
    if unit.state != UnitState::Active {
        return 0;
    }
    let worked = now.saturating_sub(unit.placed_at);
    // The members of a gang end together, so the slowest one counts.
    let percent = unit.members.iter().map(|member| member.percent).fold(100.0, f64::min);
    if percent > 5.0 {
        (worked as f64 * (100.0 - percent) / percent) as u64
    } else {
        let estimate = job.expected_ms(job.step(position), work_estimates) as u64;
        estimate.saturating_sub(worked)
    }
}
