//! Preemption: claims resources for urgent units and stops the units that hold them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::claim::Claim;
use super::job::core_equivalents;
use super::place::Demand;
use super::pool_view::PoolView;
use super::round_cache::RoundCache;
use super::victim_table::{Plan, Victim, VictimTable};
use super::{Dispatcher, Endpoint};
use crate::port::Resources;
use crate::victims::{RunningUnit, StopCosts};

/// A claim that may be made.
#[derive(Debug)]
pub(super) struct ClaimPlan {
    pub claim: Claim,
    /// Tasks on each endpoint and victims, by their indices in the table of victims.
    pub plan: Plan,
    /// Work that would be lost, in core-seconds.
    pub cost: f64,
    /// Made with the table that includes urgent jobs beyond guarantees.
    pub include_borrowers: bool,
}

impl Dispatcher {
    /// Most work, in core-seconds, that may be lost so that a unit can start. It rises over the first second of
    /// waiting, since a late urgent job is worth much less.
    pub(super) fn claim_limit(&self, id: &Arc<str>, position: usize, now: u64) -> f64 {
        let job = &self.jobs[id];
        let seconds = job.expected_ms(job.step(position), &self.work_estimates) / 1_000.0;
        let waited = now.saturating_sub(job.accepted_at) as f64 / 1_000.0;
        let share = self.tuning.claim_cost_share + self.tuning.claim_cost_share_rise * waited.min(1.0);
        share * seconds * core_equivalents(&job.need(position)) * f64::from(job.units[position].size)
    }

    /// Finds the cheapest victims whose stop lets an urgent unit start, and the claim that keeps their resources for
    /// it. `include_borrowers` allows urgent jobs beyond the guarantees of their teams as victims.
    pub(super) fn plan_claim(
        &self,
        views: &PoolView,
        demand: &Demand<'_>,
        include_borrowers: bool,
        cache: &mut RoundCache,
        now: u64,
    ) -> Option<ClaimPlan> {
        let table = self.victim_table(views, include_borrowers, cache, now);
        let plan = table.plan(views, demand)?;
        let cost = table.cost(&plan.1);
        let claim = Claim {
            tasks_by_endpoint: plan
                .0
                .iter()
                .map(|(index, times)| (Arc::clone(&views[*index].name), *times))
                .collect(),
            need: demand.need,
            adjacent: demand.adjacent,
            min_speed: demand.min_speed,
            since: now,
        };
        Some(ClaimPlan {
            claim,
            plan,
            cost,
            include_borrowers,
        })
    }

    /// Units that may be stopped for an urgent one; see [`plan_claim`](Self::plan_claim).
    fn victim_table<'c>(
        &self,
        views: &PoolView,
        include_borrowers: bool,
        cache: &'c mut RoundCache,
        now: u64,
    ) -> &'c mut VictimTable {
        if include_borrowers {
            let guaranteed = cache.guaranteed.get_or_insert_with(|| self.guaranteed_jobs());
            cache
                .with_borrowers
                .get_or_insert_with(|| VictimTable::new(views, self.victims(views, Some(guaranteed), now)))
        } else {
            cache
                .victims
                .get_or_insert_with(|| VictimTable::new(views, self.victims(views, None, now)))
        }
    }

    /// Makes a claim for an urgent unit and stops its victims.
    pub(super) fn preempt(
        &mut self,
        id: &Arc<str>,
        position: usize,
        views: &mut PoolView,
        found: ClaimPlan,
        cache: &mut RoundCache,
        now: u64,
    ) {
        let waited_ms = now.saturating_sub(self.jobs[id].accepted_at);
        let endpoints: Vec<&str> = found.claim.tasks_by_endpoint.keys().map(|name| &**name).collect();
        let (endpoints, victims) = (endpoints.join(","), found.plan.1.len());
        log::info!(job:% = id, unit = position, waited_ms, endpoints, victims, cost = found.cost; "claim made for an urgent unit");
        self.counts.claims_made += 1;
        found.claim.apply(views, false);
        self.claims.insert((Arc::clone(id), position), found.claim);
        let Some(table) = cache.only_table(found.include_borrowers) else {
            return;
        };
        for index in &found.plan.1 {
            let victim = table.victim(*index);
            let (job, unit) = &victim.unit;
            log::info!(job:% = id, victim:% = job, unit, cost = victim.cost, stops = victim.stops; "unit preempted by an urgent job");
            self.counts.repeated_stops += u64::from(victim.stops > 0);
            self.stop_unit(job, *unit, "preempted", now);
        }
        table.claim(views, &found.plan);
    }

    /// Drops the claims that have waited too long for their victims, and those with an endpoint that has become too slow
    /// unless their guarantee is due: there is time for better ones.
    pub(super) fn drop_claims(&mut self, now: u64) {
        let timeout_ms = self.tuning.claim_timeout_ms;
        let mut dropped = Vec::new();
        for ((job, unit), claim) in &self.claims {
            let accepts_work = |endpoint: &Endpoint| self.accepts_work(endpoint, now);
            let found = claim.obstacles(&self.endpoints, self.typical_log_speed, accepts_work);
            let expired = claim.since + timeout_ms <= now || self.is_evacuated(claim);
            if !expired && (found.slow.is_empty() || self.guarantee_is_due(job, now)) {
                continue;
            }
            let (held_ms, endpoints) = (now - claim.since, claim.tasks_by_endpoint.len());
            let (closed, slow, occupied) = (found.closed.join(","), found.slow.join(","), found.occupied.join(","));
            log::info!(job:% = job, unit, held_ms, endpoints, closed, slow, occupied; "claim dropped without a start");
            dropped.push((Arc::clone(job), *unit));
        }
        for key in dropped {
            self.claims.remove(&key);
            self.counts.claims_dropped += 1;
        }
    }

    /// Whether a claim counts on an endpoint in a closed failure domain.
    fn is_evacuated(&self, claim: &Claim) -> bool {
        let mut endpoints = claim
            .tasks_by_endpoint
            .keys()
            .filter_map(|name| self.endpoints.get(name));
        endpoints.any(|endpoint| self.evacuations.closes(&endpoint.entry.domain))
    }

    /// Units that may be stopped for an urgent one, among them urgent ones beyond the guarantees of their teams if the jobs
    /// within these are given.
    fn victims(&self, views: &PoolView, guaranteed: Option<&BTreeSet<Arc<str>>>, now: u64) -> Vec<Victim> {
        let costs = StopCosts {
            restore_ms: self.tuning.resume_loss_ms,
        };
        let mut victims = Vec::new();
        for (id, job) in &self.jobs {
            let may_stop = !job.is_urgent() || guaranteed.is_some_and(|guaranteed| !guaranteed.contains(id));
            if job.queue.is_none() || !may_stop {
                continue;
            }
            for position in job.index.active.iter().copied() {
                let unit = &job.units[position];
                let need = job.need(position);
                let mut rooms: BTreeMap<usize, Resources> = BTreeMap::new();
                for member in unit.members.iter().filter(|member| member.holds_room()) {
                    if let Some(index) = views.index_of(&member.endpoint) {
                        let room = rooms.entry(index).or_default();
                        *room = room.plus(&need);
                    }
                }
                if rooms.is_empty() {
                    continue;
                }
                let step = job.step(position);
                let running = RunningUnit {
                    cores: core_equivalents(&need) * unit.members.len() as f64,
                    worked_ms: now.saturating_sub(unit.placed_at),
                    checkpoints: step.checkpoints,
                    stops: unit.stops(),
                };
                victims.push(Victim {
                    unit: (Arc::clone(id), position),
                    cost: costs.of(&running),
                    stops: running.stops,
                    rooms,
                });
            }
        }
        victims
    }
}
