//! Explains where a job would go, by the functions that decide a scheduling round.
//!
//! The job is added for the time of the call only, and what it would take is booked in a snapshot of its pool. Jobs that
//! are served before it count with what they hold, claim and have reserved since the last round.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::dispatcher::queue_of;
use super::dry_run::DryRun;
use super::place::{self, Demand};
use super::preempt::ClaimPlan;
use super::rank::Rank;
use super::record_room::RecordRoom;
use super::round_cache::RoundCache;
use super::urgent_choice::UrgentChoice;
use super::{Dispatcher, Endpoint, EndpointView, Job, Member, MemberState, UnitState};
use crate::explain::{EndpointNote, Exclusion, Explanation, HoldUp, Shortfall, StepPlan, UnknownQueue, VictimNote};
use crate::graph::{Phase, Submission};
use crate::port::Queue;

impl Dispatcher {
    /// Tells what the next round would do with a job that is submitted at `now`; changes nothing. Takes as long as the
    /// round would for this job.
    pub fn explain(&mut self, submission: Submission, now: u64, wall_ms: u64) -> Result<Explanation, UnknownQueue> {
        let Some(queue) = queue_of(&self.config, &submission) else {
            return Err(UnknownQueue(submission.queue));
        };
        let mut id = String::from("explained");
        while self.jobs.contains_key(&*id) {
            id.push('~');
        }
        let id: Arc<str> = Arc::from(id);
        let mut job = Job::new(Arc::clone(&id), submission, None, Phase::Queued, 0, now);
        job.queue = Some(Arc::clone(&queue));
        self.jobs.insert(Arc::clone(&id), job);
        // The next round counts the job among those that need room.
        let rooms = self.rooms.clone();
        self.observe_room(now, wall_ms);
        let explanation = self.explain_job(&id, &queue, now, wall_ms);
        self.rooms = rooms;
        self.jobs.remove(&id);
        Ok(explanation)
    }

    fn explain_job(&mut self, id: &Arc<str>, queue: &Queue, now: u64, wall_ms: u64) -> Explanation {
        let mut run = self.dry_run(id, &queue.pool, now);
        let job = &self.jobs[id];
        let mut due: BTreeMap<(u32, usize), Vec<usize>> = BTreeMap::new();
        let mut later_steps = 0;
        for position in job.index.waiting.iter().copied() {
            let unit = &job.units[position];
            let step_key = (unit.occurrence, unit.step);
            if let Some(units) = due.get_mut(&step_key) {
                units.push(position);
            } else if job.is_due(position, wall_ms) {
                due.insert(step_key, vec![position]);
            } else if unit.first_task == 0 {
                later_steps += 1;
            }
        }
        let team = Arc::clone(&job.team);
        let within_guarantee = run.rank.is_urgent() && self.guaranteed_jobs().contains(id);
        let more_steps = due.len().saturating_sub(Explanation::STEPS_MAX);
        let mut steps = Vec::new();
        for units in due.values().take(Explanation::STEPS_MAX) {
            steps.push(self.plan_step(id, units, &mut run));
        }
        Explanation {
            at_ms: wall_ms,
            fence: self.fence,
            config_version: self.config.version,
            queue: Arc::clone(&queue.name),
            pool: Arc::clone(&queue.pool),
            priority: queue.priority,
            jobs_ahead: self.jobs_ahead(&run.rank, &queue.pool, now).count(),
            guaranteed: self.guaranteed_accelerators(&team),
            team,
            within_guarantee,
            hold_up: self.hold_up(&queue.pool, now),
            steps,
            more_steps,
            later_steps,
        }
    }

    /// Snapshot of a pool as the round finds it when it comes to the job.
    fn dry_run(&self, id: &Arc<str>, pool: &Arc<str>, now: u64) -> DryRun {
        let job = &self.jobs[id];
        let rank = Rank::of(job, &self.work_estimates, now);
        let mut views = self.empty_view(pool, now);
        self.fill_view(&mut views, pool, now);
        let mut cache = RoundCache::default();
        for ahead in self.jobs_ahead(&rank, pool, now) {
            for (key, reservation) in &self.reservations {
                if key.0 == ahead.id {
                    reservation.apply(&mut views, now);
                    cache.reservations.insert(key.clone(), reservation.clone());
                }
            }
        }
        DryRun {
            pool: Arc::clone(pool),
            record_room: RecordRoom::of(job, &views),
            views,
            cache,
            rank,
            now,
        }
    }

    /// Waiting jobs of a pool that are served before one with `rank`.
    fn jobs_ahead(&self, rank: &Rank, pool: &str, now: u64) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(move |job| {
            let waits = !job.phase.is_final() && !job.index.waiting.is_empty() && !self.suspended.contains(&job.id);
            let in_pool = job.queue.as_ref().is_some_and(|queue| *queue.pool == *pool);
            waits && in_pool && Rank::of(job, &self.work_estimates, now) < *rank
        })
    }

    fn hold_up(&self, pool: &str, now: u64) -> Option<HoldUp> {
        if self.config.pools.get(pool).is_some_and(|pool| pool.standby) {
            Some(HoldUp::Standby)
        } else if self.paused {
            Some(HoldUp::Paused)
        } else {
            self.is_stale(now).then_some(HoldUp::ClosuresUnknown)
        }
    }

    /// Plans the units at the positions `waiting`, which belong to one step, and books what they take.
    fn plan_step(&mut self, id: &Arc<str>, waiting: &[usize], run: &mut DryRun) -> StepPlan {
        let unit = &self.jobs[id].units[waiting[0]];
        let (occurrence, step) = (unit.occurrence, unit.step);
        let mut plan = StepPlan {
            occurrence,
            step,
            units: waiting.len(),
            starts: 0,
            tasks: BTreeMap::new(),
            shortfall: None,
            endpoints: Vec::new(),
            candidates: 0,
            excluded: BTreeMap::new(),
        };
        self.note_endpoints(&mut plan, &self.demand_of(id, waiting[0], run), run);
        while plan.starts < waiting.len() {
            let position = waiting[plan.starts];
            let job = &self.jobs[id];
            let recordable = run.record_room.as_ref();
            let recordable = recordable.map_or(usize::MAX, |room| room.units(job, position));
            if recordable == 0 {
                plan.shortfall = Some(Shortfall::RecordFull);
                break;
            }
            let mut alike = self.units_alike(id, &waiting[plan.starts..], run.now);
            alike.truncate(recordable);
            let chosen = place::place_alike(&run.views, &self.demand_of(id, position, run), &alike, None);
            if let Some(room) = &mut run.record_room {
                for position in alike.iter().take(chosen.len().max(1)) {
                    room.take(&self.jobs[id], *position);
                }
            }
            if chosen.is_empty() {
                self.plan_shortfall(id, position, &mut plan, run);
                break;
            }
            for (position, chosen) in chosen {
                self.book(id, position, &chosen, &mut plan, run);
            }
        }
        plan
    }

    /// Requirements of a waiting unit as the round first tries to place it.
    fn demand_of(&self, id: &Arc<str>, position: usize, run: &DryRun) -> Demand<'_> {
        let mut demand = self.demand(&run.views, id, position, &run.rank, run.now);
        if run.rank.is_urgent() {
            demand.min_speed = run.views.slow_below();
        }
        demand
    }

    /// Books a unit on the chosen endpoints.
    fn book(&mut self, id: &Arc<str>, position: usize, chosen: &[usize], plan: &mut StepPlan, run: &mut DryRun) {
        plan.starts += 1;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let need = job.need(position);
        job.set_state(position, UnitState::Active);
        for (index, view_index) in chosen.iter().enumerate() {
            run.views.take(*view_index, &need);
            let view = &run.views[*view_index];
            if plan.tasks.len() < StepPlan::NOTES_MAX || plan.tasks.contains_key(&view.name) {
                *plan.tasks.entry(Arc::clone(&view.name)).or_default() += 1;
            }
            // A later unit counts the tasks of its step on each endpoint.
            let task = job.task(position, index as u32);
            let name = Arc::clone(&view.name);
            let member = Member::new(index as u32, name, view.born, task, MemberState::Planned, run.now);
            job.units[position].members.push(member);
        }
    }

    /// Plans what becomes of a unit that does not fit.
    fn plan_shortfall(&mut self, id: &Arc<str>, position: usize, plan: &mut StepPlan, run: &mut DryRun) {
        let demand = self.demand_of(id, position, run);
        if demand.permit.needs_ticket() {
            plan.shortfall = Some(Shortfall::RequestAdvice);
            return;
        }
        plan.shortfall = Some(Shortfall::Wait);
        if run.rank.is_urgent() {
            match self.choose_urgent(id, position, &run.views, &mut run.cache, &run.rank, run.now) {
                Some(UrgentChoice::Claim(found)) => plan.shortfall = Some(self.plan_preemption(&found, run)),
                Some(UrgentChoice::Start(chosen)) => {
                    self.book(id, position, &chosen, plan, run);
                    if plan.starts == plan.units {
                        plan.shortfall = None;
                    }
                }
                None => {}
            }
        } else {
            self.reserve(id, position, &mut run.views, &mut run.cache, &run.rank, run.now);
            if let Some(reservation) = run.cache.reservations.get(&(Arc::clone(id), position)) {
                plan.shortfall = Some(Shortfall::Reserve {
                    endpoints: reservation.endpoints.clone(),
                    start_in_ms: reservation.start_at.saturating_sub(run.now),
                });
            }
        }
    }

    /// Books a claim and the stops of its victims.
    fn plan_preemption(&self, found: &ClaimPlan, run: &mut DryRun) -> Shortfall {
        found.claim.apply(&mut run.views, false);
        let mut victims = Vec::new();
        if let Some(table) = run.cache.only_table(found.include_borrowers) {
            for index in &found.plan.1 {
                let victim = table.victim(*index);
                let (job, unit) = &victim.unit;
                victims.push(VictimNote {
                    job: Arc::clone(job),
                    team: Arc::clone(&self.jobs[job].team),
                    unit: *unit,
                    cost: victim.cost,
                });
            }
            table.claim(&mut run.views, &found.plan);
        }
        Shortfall::Preempt {
            endpoints: found.claim.tasks_by_endpoint.keys().cloned().collect(),
            victims,
        }
    }

    /// Notes which endpoints may take the first unit of a step, and what excludes the others.
    fn note_endpoints(&self, plan: &mut StepPlan, demand: &Demand<'_>, run: &DryRun) {
        let mut closed = Vec::new();
        let empty_max = demand.empty_max(&run.views);
        for (name, endpoint) in &self.endpoints {
            let found = run.views.index_of(name);
            let excluded = match found {
                Some(index) => exclusion(demand, &run.views[index], empty_max),
                None if endpoint.entry.pool != run.pool => Some(Exclusion::OtherPool),
                None => Some(self.closed_by(endpoint)),
            };
            if let Some(excluded) = excluded {
                *plan.excluded.entry(excluded).or_default() += 1;
            } else {
                plan.candidates += 1;
            }
            let list = if excluded.is_none() {
                &mut plan.endpoints
            } else {
                &mut closed
            };
            if list.len() < StepPlan::NOTES_MAX && excluded != Some(Exclusion::OtherPool) {
                list.push(EndpointNote {
                    name: Arc::clone(name),
                    excluded,
                    crowded: found.is_some_and(|index| demand.crowding.endpoints.contains(&index)),
                });
            }
        }
        plan.endpoints.append(&mut closed);
        plan.endpoints.truncate(StepPlan::NOTES_MAX);
    }

    /// Why an endpoint accepts no work at all.
    fn closed_by(&self, endpoint: &Endpoint) -> Exclusion {
        if !endpoint.listed {
            Exclusion::Unlisted
        } else if self.evacuations.closes(&endpoint.entry.domain) {
            Exclusion::DomainClosed
        } else if endpoint.entry.draining {
            Exclusion::Draining
        } else if endpoint.is_silent() {
            Exclusion::NoAnswer
        } else if !endpoint.reported {
            Exclusion::NoReport
        } else if endpoint.unexpected_runs > 0 {
            Exclusion::UnexpectedRuns
        } else {
            Exclusion::Quarantined
        }
    }
}

/// Why no task of a demand may start on an endpoint that accepts work; `None` if one may. The demand may take `empty_max`
/// empty endpoints.
fn exclusion(demand: &Demand<'_>, view: &EndpointView, empty_max: usize) -> Option<Exclusion> {
    if demand.allowed_tasks_now(view) > 0 {
        let kept = view.is_empty() && empty_max == 0;
        return kept.then_some(Exclusion::KeptEmpty);
    }
    let free = view.available();
    Some(if view.speed < demand.min_speed {
        Exclusion::Slow
    } else if !view.has_label(demand.label) {
        Exclusion::Label
    } else if demand.avoid.contains(&view.name) {
        Exclusion::Avoided
    } else if demand.rack_local_only && !view.is_in_rack(demand.rack) {
        Exclusion::Rack
    } else if free.accelerators < demand.need.accelerators {
        Exclusion::Accelerators
    } else if free.memory_mb < demand.need.memory_mb {
        Exclusion::Memory
    } else if free.millicores < demand.need.millicores {
        Exclusion::Cores
    } else if demand.limit_on(view) == 0 {
        Exclusion::StepLimit
    } else if !demand.permit.allows(view) {
        Exclusion::NoTicket
    } else {
        Exclusion::Reserved
    })
}
