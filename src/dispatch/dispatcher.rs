//! The dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::claim::{self, Victim};
use super::endpoint::Occupant;
use super::order::Rank;
use super::pace;
use super::place::{self, Demand};
use super::{
    Effect, Endpoint, Hold, Job, JobWrite, Member, MemberState, Site, Snapshot, Start, Stop, Tuning, UnitState,
};
use crate::graph::{JobRecord, Phase, Submission};
use crate::port::{EndpointEntry, OrderError, Policy, Refusal, Room};

/// Most jobs in one transaction; each takes two rows, and a transaction holds 100.
const JOBS_A_COMMIT: usize = 45;

/// Room that is kept for a unit while what it preempts stops.
#[derive(Debug, Clone)]
struct Claim {
    /// Endpoints and the tasks that each is to take.
    sites: BTreeMap<Arc<str>, u32>,
    need: Room,
    /// The unit is to be in one rack.
    adjacent: bool,
    /// Endpoints below this speed are left out.
    least_speed: f64,
    since: u64,
}

/// Decides which task runs where, and when.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) tuning: Tuning,
    policy: Arc<Policy>,
    pub(super) jobs: BTreeMap<Arc<str>, Job>,
    pub(super) endpoints: BTreeMap<Arc<str>, Endpoint>,
    /// Lives that were replaced or removed, with the time by which their runs have lapsed.
    pub(super) dirty: BTreeSet<Arc<str>>,
    starts: Vec<Start>,
    pub(super) effects: Vec<Effect>,
    claims: BTreeMap<(Arc<str>, usize), Claim>,
    /// Logarithm of the speed of a typical endpoint.
    pub(super) typical: f64,
    /// Something changed that may let a waiting unit start.
    pub(super) changed: bool,
    next_round: u64,
    /// When this leader took over, in milliseconds.
    since: u64,
}

/// Longest time between two rounds without a change, in milliseconds; occurrences fall due in between.
const ROUND_MS: u64 = 100;

impl Dispatcher {
    /// A dispatcher that knows nothing, of a leader that took over at `now`.
    pub fn new(tuning: Tuning, now: u64) -> Self {
        Self {
            tuning,
            policy: Arc::default(),
            jobs: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            dirty: BTreeSet::new(),
            starts: Vec::new(),
            effects: Vec::new(),
            claims: BTreeMap::new(),
            typical: 0.0,
            changed: true,
            next_round: 0,
            since: now,
        }
    }

    /// Times and weights.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Jobs that have not ended or have runs left.
    pub fn jobs(&self) -> &BTreeMap<Arc<str>, Job> {
        &self.jobs
    }

    /// Endpoints.
    pub fn endpoints(&self) -> &BTreeMap<Arc<str>, Endpoint> {
        &self.endpoints
    }

    /// Takes a new configuration.
    pub fn configure(&mut self, policy: Arc<Policy>) {
        if policy.version <= self.policy.version {
            return;
        }
        for job in self.jobs.values_mut() {
            // A job of a removed queue goes on under its last known settings.
            if let Some(queue) = policy.queues.get(&*job.submission.queue) {
                job.queue = Some(Arc::clone(queue));
            }
        }
        self.policy = policy;
        self.changed = true;
    }

    /// Takes in an accepted job, with what is stored of it.
    pub fn submit(
        &mut self,
        id: &Arc<str>,
        submission: Submission,
        record: Option<&JobRecord>,
        phase: Phase,
        age_ms: u64,
        now: u64,
    ) {
        if self.jobs.contains_key(id) {
            return;
        }
        let mut job = Job::new(Arc::clone(id), submission, record, phase, age_ms, now);
        job.queue = self.policy.queues.get(&*job.submission.queue).cloned();
        // A former leader may have held the endpoints until the end of its own reign.
        let lapse_at = self.since + self.tuning.reign_ms + self.longest_lease();
        let need: Vec<Room> = (0..job.units.len()).map(|unit| job.need(unit)).collect();
        for (position, unit) in job.units.iter().enumerate() {
            for (at, member) in unit.members.iter().enumerate() {
                let endpoint = self.endpoints.entry(Arc::clone(&member.endpoint)).or_insert_with(|| {
                    let mut endpoint = Endpoint::new(unknown_entry(member.born), lapse_at);
                    endpoint.listed = false;
                    endpoint
                });
                let occupant = Occupant {
                    job: Arc::clone(id),
                    unit: position,
                    member: at,
                    room: need[position],
                };
                endpoint.lapse_at = endpoint.lapse_at.max(lapse_at);
                endpoint.occupy(Arc::clone(&member.task), unit.run, occupant);
            }
        }
        self.jobs.insert(Arc::clone(id), job);
        self.changed = true;
        let stale: Vec<(usize, usize)> = self.jobs[id]
            .units
            .iter()
            .enumerate()
            .flat_map(|(position, unit)| {
                unit.members
                    .iter()
                    .enumerate()
                    .map(move |(at, member)| (position, at, member))
            })
            .filter(|(_, _, member)| self.endpoints[&member.endpoint].entry.born != member.born)
            .map(|(position, at, _)| (position, at))
            .collect();
        for (position, at) in stale {
            self.gone(id, position, at, "life of the endpoint is over", now);
        }
        if phase.is_final() {
            self.finish(id, phase, now);
        }
    }

    /// Takes in that a caller cancelled a job.
    pub fn cancel(&mut self, id: &str, now: u64) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let id = Arc::clone(id);
        self.finish(&id, Phase::Cancelled, now);
    }

    /// Takes in the entry of an endpoint, or that it was removed.
    pub fn endpoint(&mut self, name: &Arc<str>, entry: Option<EndpointEntry>, now: u64) {
        self.changed = true;
        let Some(entry) = entry else {
            if let Some(endpoint) = self.endpoints.get_mut(name) {
                if endpoint.listed {
                    log::info!(endpoint:% = name, runs = endpoint.runs.len(); "endpoint left the list");
                }
                endpoint.listed = false;
            }
            return;
        };
        let lapse_at = now + self.longest_lease();
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            self.endpoints.insert(Arc::clone(name), Endpoint::new(entry, lapse_at));
            return;
        };
        if endpoint.entry.born == entry.born || endpoint.entry.born == 0 {
            if entry.draining && !endpoint.entry.draining {
                log::info!(endpoint:% = name, remaining_ms:? = entry.remaining_ms; "endpoint drains");
            }
            endpoint.entry = entry;
            endpoint.listed = true;
            return;
        }
        if entry.born < endpoint.entry.born {
            return;
        }
        self.replace_life(name, entry, now);
    }

    /// A new life answers under the name of an old one: whatever the old one ran is gone.
    pub(super) fn replace_life(&mut self, name: &Arc<str>, entry: EndpointEntry, now: u64) {
        let lapse_at = now + self.longest_lease();
        let fresh = Endpoint::new(entry, lapse_at);
        let Some(old) = self.endpoints.insert(Arc::clone(name), fresh) else {
            return;
        };
        log::info!(endpoint:% = name, lost = old.runs.len(); "endpoint started again");
        for occupant in old.runs.into_values() {
            self.gone(
                &occupant.job,
                occupant.unit,
                occupant.member,
                "endpoint started again",
                now,
            );
        }
    }

    fn longest_lease(&self) -> u64 {
        (self.tuning.lease_ms as f64 * (1.0 + self.tuning.clock_drift)).ceil() as u64 + 1_000
    }

    /// What the next hold of an endpoint says; `None` if it needs none.
    pub fn hold(&mut self, name: &Arc<str>, now: u64) -> Option<Hold> {
        let endpoint = self.endpoints.get_mut(name)?;
        endpoint.wants_hold().then(|| endpoint.hold(&self.tuning, now))
    }

    /// End of the lease of a start sent at `now`, on the clock of the endpoint; `None` if that clock is not known.
    pub fn lease_start(&mut self, name: &Arc<str>, now: u64) -> Option<u64> {
        let endpoint = self.endpoints.get_mut(name)?;
        let span = self.tuning.start_lease_ms;
        let until = endpoint.until(now, span)?;
        endpoint.leased(&self.tuning, now, span);
        Some(until)
    }

    /// Answer to a start.
    pub fn started(&mut self, start: &Start, answer: Result<u64, OrderError>, now: u64) {
        self.changed = true;
        let Some(unit) = self.jobs.get(&start.job).and_then(|job| job.units.get(start.unit)) else {
            return;
        };
        let Some(member) = unit.members.get(start.member) else {
            return;
        };
        if unit.run != start.run || member.endpoint != start.endpoint {
            return;
        }
        let state = member.state;
        if let Ok(clock)
        | Err(OrderError::Refused {
            clock_ms: Some(clock), ..
        }) = &answer
            && let Some(endpoint) = self.endpoints.get_mut(&start.endpoint)
        {
            endpoint.clock = Some((*clock, now));
        }
        let tuning = self.tuning.clone();
        match answer {
            Ok(_) => {
                if matches!(state, MemberState::Sent { .. }) {
                    self.member(start).state = MemberState::Running;
                    self.member(start).moved_at = now;
                }
            }
            Err(OrderError::Unknown(reason)) => {
                let MemberState::Sent { tries, .. } = state else { return };
                log::warn!(task:% = start.task, run = start.run, endpoint:% = start.endpoint, tries, reason; "start has no answer");
                if tries >= tuning.start_tries {
                    self.shun(&start.endpoint, tuning.unwell_ms, now);
                    self.stop_unit(&start.job, start.unit, "a start has no answer", now);
                    return;
                }
                self.member(start).state = MemberState::Sent { tries, next: now + 50 };
            }
            Err(error) => {
                if !matches!(state, MemberState::Sent { .. } | MemberState::Stopping { .. }) {
                    return;
                }
                let again = match &error {
                    OrderError::Refused {
                        refusal: Refusal::Late, ..
                    } => matches!(state, MemberState::Sent { tries, .. } if tries < tuning.start_tries),
                    _ => false,
                };
                if again {
                    let MemberState::Sent { tries, .. } = state else { return };
                    self.member(start).state = MemberState::Sent { tries, next: now };
                    return;
                }
                // An earlier attempt without an answer may still be carried out.
                let first = matches!(state, MemberState::Sent { tries: 1, .. });
                log::info!(task:% = start.task, run = start.run, endpoint:% = start.endpoint, error:% = error; "start refused");
                let unwell = !matches!(
                    error,
                    OrderError::Refused {
                        refusal: Refusal::Room | Refusal::Old | Refusal::Late,
                        ..
                    }
                );
                if unwell {
                    self.shun(&start.endpoint, tuning.unwell_ms, now);
                } else {
                    self.shun(&start.endpoint, 200, now);
                }
                if first
                    || matches!(
                        error,
                        OrderError::Refused {
                            refusal: Refusal::Old,
                            ..
                        }
                    )
                {
                    self.gone(&start.job, start.unit, start.member, "start refused", now);
                }
                self.stop_unit(&start.job, start.unit, "a start was refused", now);
            }
        }
    }

    fn member(&mut self, start: &Start) -> &mut Member {
        let job = self.jobs.get_mut(&start.job).expect("the caller looked the job up");
        &mut job.units[start.unit].members[start.member]
    }

    /// Answer to a stop.
    pub fn stopped(&mut self, stop: &Stop, answer: Result<u64, OrderError>, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(&stop.endpoint) else {
            return;
        };
        let Some(occupant) = endpoint.runs.get(&(Arc::clone(&stop.task), stop.run)).cloned() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&occupant.job) else {
            return;
        };
        let member = &mut job.units[occupant.unit].members[occupant.member];
        if let MemberState::Stopping { acked, next } = &mut member.state {
            match answer {
                Ok(_) => *acked = Some(now),
                Err(error) => {
                    log::info!(task:% = stop.task, run = stop.run, endpoint:% = stop.endpoint, error:% = error; "stop not confirmed");
                    *next = now + self.tuning.resend_ms;
                }
            }
        }
    }

    /// No new work for an endpoint for some time.
    pub(super) fn shun(&mut self, name: &Arc<str>, for_ms: u64, now: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.shunned_until = endpoint.shunned_until.max(now + for_ms);
        }
    }

    /// Ends the present run of a unit: what has not been sent is dropped, the rest is stopped.
    pub(super) fn stop_unit(&mut self, id: &Arc<str>, position: usize, why: &str, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &mut job.units[position];
        if matches!(unit.state, UnitState::Done | UnitState::Waiting) {
            return;
        }
        if unit.state == UnitState::Active {
            unit.state = UnitState::Clearing;
            log::info!(job:% = id, unit = position, run = unit.run, why; "run ends");
        }
        let mut dropped = Vec::new();
        for (at, member) in unit.members.iter_mut().enumerate() {
            match member.state {
                MemberState::Planned => dropped.push(at),
                MemberState::Sent { .. } | MemberState::Running | MemberState::Recovered => {
                    member.state = MemberState::Stopping { acked: None, next: now };
                }
                MemberState::Stopping { .. } | MemberState::Gone => {}
            }
        }
        self.dirty.insert(Arc::clone(id));
        for at in dropped {
            self.gone(id, position, at, why, now);
        }
        self.settle(id, position);
        self.changed = true;
    }

    /// Notes that a member is gone.
    pub(super) fn gone(&mut self, id: &Arc<str>, position: usize, at: usize, why: &str, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &mut job.units[position];
        let Some(member) = unit.members.get_mut(at) else { return };
        if member.state == MemberState::Gone {
            return;
        }
        member.state = MemberState::Gone;
        let (task, run) = (Arc::clone(&member.task), unit.run);
        if let Some(endpoint) = self.endpoints.get_mut(&member.endpoint) {
            endpoint.vacate(&task, run);
        }
        if unit.state != UnitState::Done {
            self.dirty.insert(Arc::clone(id));
        }
        self.changed = true;
        if unit.state == UnitState::Active {
            self.stop_unit(id, position, why, now);
        }
        self.settle(id, position);
    }

    /// Lets a unit wait again once its last run is gone.
    fn settle(&mut self, id: &Arc<str>, position: usize) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let phase = job.phase;
        let unit = &mut job.units[position];
        if unit.state == UnitState::Clearing && unit.is_clear() {
            unit.state = UnitState::Waiting;
            unit.members.clear();
        }
        if phase.is_final() && job.is_clear() && !self.dirty.contains(id) {
            self.jobs.remove(id);
        }
    }

    /// Ends a job and stops what runs of it.
    pub(super) fn finish(&mut self, id: &Arc<str>, phase: Phase, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.phase != phase {
            log::info!(job:% = id, from:? = job.phase, to:? = phase; "job ends");
            job.phase = phase;
        }
        let units = job.units.len();
        self.dirty.insert(Arc::clone(id));
        for position in 0..units {
            self.claims.remove(&(Arc::clone(id), position));
            self.stop_unit(id, position, "the job has ended", now);
        }
    }

    /// Changes since the last snapshot that have to be stored; `None` if there are none.
    pub fn snapshot(&mut self) -> Option<Snapshot> {
        let mut snapshot = Snapshot::default();
        while snapshot.jobs.len() < JOBS_A_COMMIT {
            let Some(id) = self.dirty.pop_first() else { break };
            let Some(job) = self.jobs.get(&id) else { continue };
            snapshot.jobs.push(JobWrite {
                record: job.record(),
                phase: job.phase,
                team: job.submission.team.clone(),
                id,
            });
        }
        let (ready, waiting) = std::mem::take(&mut self.starts)
            .into_iter()
            .partition(|start| !self.dirty.contains(&start.job));
        snapshot.starts = ready;
        self.starts = waiting;
        snapshot.complete = self.dirty.is_empty();
        if snapshot.complete {
            for (name, endpoint) in &self.endpoints {
                if endpoint.seen > endpoint.stored {
                    snapshot
                        .seen
                        .push((Arc::clone(name), endpoint.entry.born, endpoint.seen));
                }
            }
        }
        if snapshot.jobs.is_empty() && snapshot.starts.is_empty() && snapshot.seen.is_empty() {
            return None;
        }
        Some(snapshot)
    }

    /// A snapshot has been stored: releases its starts.
    pub fn stored(&mut self, snapshot: Snapshot, now: u64) {
        for start in snapshot.starts {
            let Some(job) = self.jobs.get_mut(&start.job) else {
                continue;
            };
            let unit = &mut job.units[start.unit];
            let Some(member) = unit.members.get_mut(start.member) else {
                continue;
            };
            if unit.run != start.run || member.state != MemberState::Planned {
                continue;
            }
            member.state = MemberState::Sent {
                tries: 1,
                next: now + self.tuning.resend_ms,
            };
            self.effects.push(Effect::Start(start));
        }
        for (name, born, seen) in snapshot.seen {
            if let Some(endpoint) = self
                .endpoints
                .get_mut(&name)
                .filter(|endpoint| endpoint.entry.born == born)
            {
                endpoint.stored = endpoint.stored.max(seen);
            }
        }
        for write in snapshot.jobs {
            let Some(job) = self.jobs.get(&write.id) else { continue };
            if write.phase.is_final() && job.is_clear() && !self.dirty.contains(&write.id) {
                self.jobs.remove(&write.id);
            }
        }
    }

    /// A snapshot could not be stored: its changes are part of the next one.
    pub fn unstored(&mut self, snapshot: Snapshot) {
        for write in snapshot.jobs {
            self.dirty.insert(write.id);
        }
        for start in snapshot.starts {
            self.dirty.insert(Arc::clone(&start.job));
            self.starts.push(start);
        }
    }

    /// Number of jobs of each queue that have not begun.
    pub fn pending(&self) -> BTreeMap<Arc<str>, u64> {
        let mut pending: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase == Phase::Queued {
                *pending.entry(Arc::from(&*job.submission.queue)).or_default() += 1;
            }
        }
        pending
    }

    /// Runs timers and gives room to waiting units; returns the orders to send.
    pub fn step(&mut self, now: u64, wall_ms: u64) -> Vec<Effect> {
        self.lapse(now);
        self.resend(now);
        if self.changed || now >= self.next_round {
            self.changed = false;
            self.next_round = now + ROUND_MS;
            self.round(now, wall_ms);
        }
        std::mem::take(&mut self.effects)
    }

    /// Frees what has lapsed for certain.
    fn lapse(&mut self, now: u64) {
        let mut lapsed = Vec::new();
        for (name, endpoint) in &self.endpoints {
            if endpoint.runs.is_empty() || !endpoint.has_lapsed(now) {
                continue;
            }
            log::info!(endpoint:% = name, runs = endpoint.runs.len(); "all leases on the endpoint have passed");
            lapsed.extend(endpoint.runs.values().cloned());
        }
        for occupant in lapsed {
            self.gone(
                &occupant.job,
                occupant.unit,
                occupant.member,
                "its lease has passed",
                now,
            );
        }
        self.endpoints
            .retain(|_, endpoint| endpoint.listed || !endpoint.runs.is_empty());
    }

    /// Sends orders again that have no answer.
    fn resend(&mut self, now: u64) {
        for (id, job) in &mut self.jobs {
            let payload = Arc::clone(&job.payload);
            for (position, unit) in job.units.iter_mut().enumerate() {
                let (run, checkpoint) = (unit.run, Arc::clone(&unit.checkpoint));
                for (at, member) in unit.members.iter_mut().enumerate() {
                    match &mut member.state {
                        MemberState::Sent { tries, next } if *next <= now => {
                            *tries += 1;
                            *next = now + self.tuning.resend_ms;
                            self.effects.push(Effect::Start(Start {
                                job: Arc::clone(id),
                                unit: position,
                                member: at,
                                run,
                                endpoint: Arc::clone(&member.endpoint),
                                task: Arc::clone(&member.task),
                                payload: Arc::clone(&payload),
                                checkpoint: Arc::clone(&checkpoint),
                            }));
                        }
                        MemberState::Stopping { acked: None, next } if *next <= now => {
                            *next = now + self.tuning.resend_ms;
                            self.effects.push(Effect::Stop(Stop {
                                endpoint: Arc::clone(&member.endpoint),
                                task: Arc::clone(&member.task),
                                run,
                            }));
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// Sites of a pool with the room that is free.
    fn sites(&self, pool: &str, now: u64) -> Vec<Site> {
        let mut sites = Vec::new();
        for (name, endpoint) in &self.endpoints {
            if *endpoint.entry.pool != *pool || !endpoint.is_open(now) {
                continue;
            }
            sites.push(Site {
                name: Arc::clone(name),
                rack: endpoint.entry.rack.clone(),
                labels: endpoint.entry.labels.clone(),
                free: endpoint.free(),
                held: Room::default(),
                speed: endpoint.pace.estimate(self.typical).exp(),
                promised: 0,
            });
        }
        sites
    }

    /// Gives room to waiting units, in order.
    fn round(&mut self, now: u64, wall_ms: u64) {
        self.typical = pace::typical(self.endpoints.values().map(|endpoint| &endpoint.pace));
        self.claims.retain(|_, claim| claim.since + self.tuning.claim_ms > now);
        let mut order: Vec<(Rank, Arc<str>)> = Vec::new();
        for (id, job) in &self.jobs {
            if job.phase.is_final() || job.queue.is_none() {
                continue;
            }
            if !job.units.iter().any(|unit| unit.state == UnitState::Waiting) {
                continue;
            }
            order.push((Rank::of(job, now), Arc::clone(id)));
        }
        order.sort_unstable();
        let mut pools: BTreeMap<Arc<str>, Vec<Site>> = BTreeMap::new();
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
    fn serve(
        &mut self,
        id: &Arc<str>,
        rank: Rank,
        mut sites: Vec<Site>,
        reserved: &mut usize,
        now: u64,
        wall_ms: u64,
    ) -> Vec<Site> {
        // Equal tasks of a step that found no room need not be tried again.
        let mut failed: BTreeSet<(u32, usize)> = BTreeSet::new();
        let units = self.jobs[id].units.len();
        for position in 0..units {
            let job = &self.jobs[id];
            let unit = &job.units[position];
            if unit.state != UnitState::Waiting || unit.not_before > now || !job.is_due(position, wall_ms) {
                continue;
            }
            let kind = (unit.occurrence, unit.step);
            if failed.contains(&kind) {
                continue;
            }
            let claim = self.claims.get(&(Arc::clone(id), position)).cloned();
            if let Some(claim) = &claim {
                hold_back(&mut sites, claim, true);
            }
            let mut demand = self.demand(id, position, &rank, now);
            if let Some(claim) = &claim {
                demand.adjacent = claim.adjacent;
                demand.least_speed = claim.least_speed;
            } else if rank.is_urgent() {
                // On a slow endpoint it would be late, and would keep its room for longer.
                demand.least_speed = place::slow_below(&sites);
            }
            if let Some(chosen) = place::place(&sites, &demand) {
                self.claims.remove(&(Arc::clone(id), position));
                self.start(id, position, &mut sites, &chosen, now);
                continue;
            }
            if unit.avoid.is_empty() {
                failed.insert(kind);
            } else {
                // The endpoints on which it failed are better than none.
                let relaxed = Demand {
                    avoid: &BTreeSet::new(),
                    ..self.demand(id, position, &rank, now)
                };
                if self.sites_left(&sites, &demand) == 0
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
                let owed = self.is_owed(id) && self.is_pressing(id, now);
                let mut plan = self.plan_claim(&sites, &demand, false, now).filter(|(_, victims)| {
                    let cost: f64 = victims.iter().map(|victim| victim.cost).sum();
                    owed || cost <= self.claim_limit(id, position, now)
                });
                demand.least_speed = 0.0;
                let slow = if plan.is_none() { place::place(&sites, &demand) } else { None };
                if owed && plan.is_none() && slow.is_none() {
                    plan = self.plan_claim(&sites, &demand, true, now);
                    if plan.is_none() && demand.adjacent {
                        demand.adjacent = false;
                        plan = self.plan_claim(&sites, &demand, true, now);
                    }
                }
                if let Some((claim, victims)) = plan {
                    self.preempt(id, position, &mut sites, claim, victims, now);
                } else if let Some(chosen) = slow {
                    self.start(id, position, &mut sites, &chosen, now);
                }
            } else if demand.count > 1 && *reserved < self.tuning.reservations {
                *reserved += 1;
                self.reserve(id, position, &mut sites, &rank, now);
            }
        }
        sites
    }

    fn sites_left(&self, sites: &[Site], demand: &Demand<'_>) -> u32 {
        sites
            .iter()
            .map(|site| demand.times(site, &self.endpoints[&site.name].entry.capacity))
            .sum()
    }

    /// What a unit asks for.
    fn demand(&self, id: &Arc<str>, position: usize, rank: &Rank, now: u64) -> Demand<'_> {
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
        let pool = job.queue.as_ref().map_or("", |queue| &*queue.pool);
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
            urgent: rank.is_urgent(),
            least_speed: 0.0,
            ends_at: now + step.estimate_ms,
        };
        let whole: Vec<(Site, Room)> = self
            .sites(pool, now)
            .into_iter()
            .map(|site| {
                let capacity = self.endpoints[&site.name].entry.capacity;
                (site, capacity)
            })
            .collect();
        // Work away from its data takes several times as long, so it waits for the rack for about one run.
        let waited = now.saturating_sub(job.accepted);
        demand.near = !step.rack.is_empty()
            && waited < step.estimate_ms.saturating_mul(2)
            && whole.iter().any(|(site, _)| site.is_in(&step.rack));
        if demand.adjacent && demand.count > 1 {
            demand.adjacent = place::fits_a_rack(&whole, &demand);
        }
        demand
    }

    /// Gives a unit its endpoints.
    fn start(&mut self, id: &Arc<str>, position: usize, sites: &mut [Site], chosen: &[usize], now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let need = job.need(position);
        let names: Vec<Arc<str>> = (0..chosen.len()).map(|at| job.task(position, at as u32)).collect();
        let payload = Arc::clone(&job.payload);
        let unit = &mut job.units[position];
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
            self.starts.push(Start {
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
        let priority = job.queue.as_ref().map_or(0, |queue| queue.priority);
        let step = job.step(position);
        let (saves, cores, estimate_ms) = (step.checkpoints, weight(&need), step.estimate_ms);
        let waited_ms = now.saturating_sub(job.accepted);
        log::info!(job:% = id, unit = position, run, size, priority, saves, cores, estimate_ms, waited_ms; "unit placed");
        self.dirty.insert(Arc::clone(id));
    }

    /// Accelerators that the urgent jobs of a team take or ask for.
    fn claimed(&self, team: &str) -> u64 {
        let mut claimed = 0;
        for job in self.jobs.values() {
            if job.submission.team != team || job.phase.is_final() || !job.is_urgent() {
                continue;
            }
            claimed += job.claimed();
        }
        claimed
    }

    /// Whether the guarantee of its team covers a job.
    fn is_owed(&self, id: &Arc<str>) -> bool {
        let team = &*self.jobs[id].submission.team;
        let guaranteed = self.policy.teams.get(team).map_or(0, |team| team.guaranteed);
        self.claimed(team) <= guaranteed
    }

    /// Whether a guarantee would be met late if room were not made now, whatever it costs.
    fn is_pressing(&self, id: &Arc<str>, now: u64) -> bool {
        now.saturating_sub(self.jobs[id].accepted) + self.tuning.claim_lead_ms >= self.tuning.reclaim_ms
    }

    /// Most work, in core-seconds, that may be lost so that a unit can start; rises while it waits, since a late urgent job
    /// is worth much less.
    fn claim_limit(&self, id: &Arc<str>, position: usize, now: u64) -> f64 {
        let job = &self.jobs[id];
        let seconds = job.step(position).estimate_ms as f64 / 1_000.0;
        let waited = now.saturating_sub(job.accepted) as f64 / 1_000.0;
        let share = self.tuning.claim_share + self.tuning.claim_rise * waited.min(1.0);
        share * seconds * weight(&job.need(position)) * f64::from(job.units[position].size)
    }

    /// What is cheapest to stop so that an urgent unit can start, and the room to keep for it; `borrowed` adds the urgent
    /// jobs of teams that take more than their guarantee.
    fn plan_claim(&self, sites: &[Site], demand: &Demand<'_>, borrowed: bool, now: u64) -> Option<(Claim, Vec<Victim>)> {
        let mut victims = self.victims(sites, borrowed, now);
        let (taken, stopped) = claim::plan(sites, &victims, demand)?;
        let claim = Claim {
            sites: taken
                .iter()
                .map(|(at, times)| (Arc::clone(&sites[*at].name), *times))
                .collect(),
            need: demand.need,
            adjacent: demand.adjacent,
            least_speed: demand.least_speed,
            since: now,
        };
        let mut at = 0;
        victims.retain(|_| {
            at += 1;
            stopped.contains(&(at - 1))
        });
        Some((claim, victims))
    }

    /// Keeps room for an urgent unit and stops what is in its way.
    fn preempt(
        &mut self,
        id: &Arc<str>,
        position: usize,
        sites: &mut [Site],
        claim: Claim,
        victims: Vec<Victim>,
        now: u64,
    ) {
        hold_back(sites, &claim, false);
        self.claims.insert((Arc::clone(id), position), claim);
        for victim in victims {
            let (job, unit) = victim.unit;
            log::info!(job:% = id, victim:% = job, unit, cost = victim.cost; "preempts");
            self.stop_unit(&job, unit, "preempted", now);
        }
    }

    /// Units that may be stopped for an urgent one.
    fn victims(&self, sites: &[Site], borrowed: bool, now: u64) -> Vec<Victim> {
        let index: BTreeMap<&Arc<str>, usize> = sites.iter().enumerate().map(|(at, site)| (&site.name, at)).collect();
        let mut victims = Vec::new();
        for (id, job) in &self.jobs {
            if job.queue.is_none() || job.is_urgent() && !(borrowed && !self.is_owed(id)) {
                continue;
            }
            for (position, unit) in job.units.iter().enumerate() {
                if !matches!(unit.state, UnitState::Active | UnitState::Clearing) {
                    continue;
                }
                let need = job.need(position);
                let mut rooms: BTreeMap<usize, Room> = BTreeMap::new();
                for member in unit.members.iter().filter(|member| member.holds_room()) {
                    if let Some(at) = index.get(&member.endpoint) {
                        let room = rooms.entry(*at).or_default();
                        *room = room.plus(&need);
                    }
                }
                if rooms.is_empty() {
                    continue;
                }
                // What is being stopped already costs nothing more; a checkpoint saves most of the work.
                let at_risk_ms = match unit.state {
                    UnitState::Clearing => 0,
                    _ if job.step(position).checkpoints => 300,
                    _ => now.saturating_sub(unit.placed_at),
                };
                victims.push(Victim {
                    unit: (Arc::clone(id), position),
                    cost: at_risk_ms as f64 / 1_000.0 * weight(&need) * unit.members.len() as f64,
                    rooms,
                });
            }
        }
        victims
    }

    /// Keeps the sites where a blocked gang can start first for it.
    fn reserve(&self, id: &Arc<str>, position: usize, sites: &mut [Site], rank: &Rank, now: u64) {
        let demand = self.demand(id, position, rank, now);
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
    fn ends(&self, name: &Arc<str>, now: u64) -> Vec<(u64, Room)> {
        let mut ends = Vec::new();
        for occupant in self.endpoints[name].runs.values() {
            let Some(job) = self.jobs.get(&occupant.job) else {
                continue;
            };
            let unit = &job.units[occupant.unit];
            let Some(member) = unit.members.get(occupant.member) else {
                continue;
            };
            let left = match unit.state {
                UnitState::Active => {
                    let estimate = job.step(occupant.unit).estimate_ms;
                    let worked = now.saturating_sub(unit.placed_at);
                    if member.percent > 5.0 {
                        (worked as f64 * (100.0 - member.percent) / member.percent) as u64
                    } else {
                        estimate.saturating_sub(worked)
                    }
                }
                _ => 0,
            };
            ends.push((now + left, occupant.room));
        }
        ends
    }
}

/// Core-seconds that a task with this room does in a second; an accelerator counts as eight cores.
fn weight(need: &Room) -> f64 {
    need.millicores as f64 / 1_000.0 + 8.0 * need.accelerators as f64
}

/// Keeps the room of a claim on its sites, or gives it back.
fn hold_back(sites: &mut [Site], claim: &Claim, back: bool) {
    for site in sites {
        let Some(times) = claim.sites.get(&site.name) else {
            continue;
        };
        for _ in 0..*times {
            site.held = if back {
                site.held.minus(&claim.need)
            } else {
                site.held.plus(&claim.need)
            };
        }
    }
}

/// Stands for an endpoint that only a stored record names.
fn unknown_entry(born: u64) -> EndpointEntry {
    EndpointEntry {
        pool: Arc::from(""),
        address: Arc::from(""),
        domain: Arc::from(""),
        born,
        draining: false,
        remaining_ms: None,
        cold_ms: 0,
        capacity: Room::default(),
        labels: Vec::new(),
        rack: None,
    }
}
