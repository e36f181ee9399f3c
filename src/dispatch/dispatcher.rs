//! State of the dispatcher and the events that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::advice_calls::AdviceCalls;
use super::claim::Claim;
use super::dirty_queue::DirtyQueue;
use super::endpoint::PlacedRun;
use super::incarnation::LATE_ORDER_MAX_MS;
use super::lease_bound::LeaseBounds;
use super::pool_view::PoolView;
use super::probe_slots::ProbeSlots;
use super::reservation::Reservation;
use super::{
    Counts, Effect, Endpoint, Hold, Job, LeaseSource, MemberState, SpeedEstimate, Start, Tuning, WorkEstimates,
};
use crate::evacuation::Evacuations;
use crate::graph::{JobRecord, Phase, Submission};
use crate::interference::Interference;
use crate::port::{EndpointEntry, Queue, Resources, SiteConfig};
use crate::room::Rooms;

/// Decides which task runs where, and when.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) tuning: Tuning,
    pub(super) config: Arc<SiteConfig>,
    /// Failure domains to which nothing is sent.
    pub(super) evacuations: Rc<Evacuations>,
    pub(super) jobs: BTreeMap<Arc<str>, Job>,
    pub(super) endpoints: BTreeMap<Arc<str>, Endpoint>,
    /// Jobs whose state has changed since it was last stored.
    pub(super) dirty: DirtyQueue,
    /// Starts held back until the record of their job is stored.
    pub(super) starts: Vec<Start>,
    pub(super) effects: Vec<Effect>,
    /// Fencing token as last stored.
    pub(super) fence: u64,
    /// Start times of endpoints that were dropped although this leader has sent orders to them.
    pub(super) dropped_endpoints: BTreeMap<Arc<str>, u64>,
    /// Resources claimed for urgent units, by job and position of the unit.
    pub(super) claims: BTreeMap<(Arc<str>, usize), Claim>,
    /// Earliest time at which victims are looked for again, in milliseconds.
    pub(super) claims_due: u64,
    /// Endpoints reserved for blocked gangs in the last round, by job and position of the unit.
    pub(super) reservations: BTreeMap<(Arc<str>, usize), Reservation>,
    /// Times at which silent endpoints are asked for a report.
    pub(super) probe_slots: ProbeSlots,
    /// Bounds of leases on silent endpoints, for the next leader.
    pub(super) lease_bounds: LeaseBounds,
    /// Speeds learned by a former leader for endpoints that have not been listed yet, by name and incarnation.
    pub(super) restored_speeds: BTreeMap<(Arc<str>, u64), SpeedEstimate>,
    /// Learned work of tasks, by queue.
    pub(super) work_estimates: WorkEstimates,
    /// Measured effects between kinds of tasks.
    pub(super) interference: Interference,
    /// Pairs of kinds of which the second slows the first down.
    pub(super) interfering: BTreeSet<(Arc<str>, Arc<str>)>,
    /// When these pairs are updated again, in milliseconds.
    pub(super) interfering_due: u64,
    /// Demand for whole endpoints, by pool and priority.
    pub(super) rooms: Rooms,
    /// When the demand is logged again, in milliseconds.
    pub(super) rooms_log_due: u64,
    /// Logarithm of the speed of a typical endpoint.
    pub(super) typical_log_speed: f64,
    /// Snapshots of the last round, by pool.
    pub(super) pool_views: BTreeMap<Arc<str>, PoolView>,
    /// Increases whenever an endpoint is added, is removed, or changes what it offers.
    pub(super) list_revision: u64,
    /// Set when something changed that may let a waiting unit start.
    pub(super) changed: bool,
    /// Calls to the advice service without an answer.
    pub(super) advice_calls: AdviceCalls,
    /// Counts since the last [`take_counts`](Self::take_counts).
    pub(super) counts: Counts,
    /// Jobs of which no further unit may be placed.
    pub(super) suspended: BTreeSet<Arc<str>>,
    /// Set when no further unit may be placed.
    pub(super) paused: bool,
    last_round: u64,
    /// Moving average of the time that a round takes, in milliseconds.
    round_time_ms: f64,
    next_check: u64,
    /// When this leader took over, in milliseconds.
    pub(super) took_over_at: u64,
    /// Time after which no former leader had its lead confirmed, in milliseconds.
    former_confirmed_at: u64,
}

/// Least time between two scheduling rounds, in milliseconds; batches events that arrive together.
const ROUND_MIN_MS: u64 = 10;

/// Ratio of the time between two rounds to the time that a round takes. It leaves four fifths of the processor for
/// reports, orders and the renewal of leadership, however large the fleet and the backlog are.
const ROUND_SPACING: f64 = 5.0;

/// Weight of the latest round in the moving average of the time that a round takes.
const ROUND_TIME_WEIGHT: f64 = 0.3;

/// Time between two checks of leases, unanswered orders and leaving endpoints, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// Time between two scheduling rounds if nothing changed, in milliseconds; an occurrence may become due without an event.
const ROUND_INTERVAL_MS: u64 = 100;

impl Dispatcher {
    /// Creates an empty dispatcher for a leader that took over at `now`.
    pub fn new(tuning: Tuning, now: u64) -> Self {
        Self {
            tuning,
            config: Arc::default(),
            evacuations: Rc::default(),
            jobs: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            dirty: DirtyQueue::default(),
            starts: Vec::new(),
            effects: Vec::new(),
            fence: 0,
            dropped_endpoints: BTreeMap::new(),
            claims: BTreeMap::new(),
            claims_due: 0,
            probe_slots: ProbeSlots::default(),
            lease_bounds: LeaseBounds::default(),
            reservations: BTreeMap::new(),
            work_estimates: WorkEstimates::default(),
            interference: Interference::default(),
            interfering: BTreeSet::new(),
            interfering_due: 0,
            rooms: Rooms::default(),
            rooms_log_due: 0,
            typical_log_speed: 0.0,
            restored_speeds: BTreeMap::new(),
            pool_views: BTreeMap::new(),
            list_revision: 0,
            changed: true,
            advice_calls: AdviceCalls::default(),
            counts: Counts::default(),
            suspended: BTreeSet::new(),
            paused: false,
            last_round: 0,
            round_time_ms: 0.0,
            next_check: 0,
            took_over_at: now,
            former_confirmed_at: now,
        }
    }

    /// Timeouts, limits and weights.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Jobs that have not ended, or have runs that may still exist.
    pub fn jobs(&self) -> &BTreeMap<Arc<str>, Job> {
        &self.jobs
    }

    /// Known endpoints by name: the listed ones, and removed ones that may still have runs.
    pub fn endpoints(&self) -> &BTreeMap<Arc<str>, Endpoint> {
        &self.endpoints
    }

    /// Notes that no former leader had its lead confirmed after `at`; has to be called before any job is added.
    ///
    /// Each transaction of a leader expects the ledger row that the last one left, so the transactions of all leaders are in
    /// one order, and no former leader has an answer to one that was sent after the last. Its lead has ended 8 s after that.
    pub fn restore_confirmation(&mut self, at: u64) {
        self.former_confirmed_at = at.min(self.took_over_at);
    }

    /// Applies a configuration unless it is older than the present one.
    pub fn configure(&mut self, config: Arc<SiteConfig>) {
        if config.version <= self.config.version {
            return;
        }
        for job in self.jobs.values_mut() {
            // A job of a removed queue keeps the last known settings of the queue.
            if job.queue.is_none() || config.queues.contains_key(&*job.submission.queue) {
                job.queue = queue_of(&config, &job.submission);
            }
        }
        self.config = config;
        self.changed = true;
    }

    /// Sets the failure domains to which nothing is sent.
    pub fn close_domains(&mut self, evacuations: Rc<Evacuations>) {
        self.changed |= evacuations.domains() != self.evacuations.domains();
        self.evacuations = evacuations;
    }

    /// Whether new work may be placed on an endpoint.
    pub(super) fn accepts_work(&self, endpoint: &Endpoint, now: u64) -> bool {
        endpoint.is_open(now) && !self.evacuations.closes(&endpoint.entry.domain)
    }

    /// Whether failure domains may have been closed unknown to this leader, so that no start may be sent.
    pub(super) fn is_stale(&self, now: u64) -> bool {
        self.evacuations.is_stale(self.tuning.evacuation_stale_ms, now)
    }

    /// Whether no start may be sent to an endpoint because its failure domain is closed or may have been closed.
    pub(super) fn withholds_starts(&self, endpoint: &str, now: u64) -> bool {
        let Some(known) = self.endpoints.get(endpoint) else {
            return self.is_stale(now);
        };
        let stale_ms = self.tuning.evacuation_stale_ms;
        !self.evacuations.allows_start(&known.entry.domain, stale_ms, now)
    }

    /// Adds an accepted job in its stored state. Without a record the submission itself has yet to be stored, too.
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
        if !job.submission_stored {
            self.dirty.insert(Arc::clone(id));
        }
        job.queue = queue_of(&self.config, &job.submission);
        // A former leader may have renewed leases on these endpoints until its own lead ran out.
        let term_ms = self.tuning.leader_lease_ms + self.longest_lease_ms();
        let former_end_at = self.former_confirmed_at + term_ms;
        let latest_end_at = self.took_over_at + term_ms;
        let fence = self.fence;
        let need: Vec<Resources> = (0..job.units.len()).map(|unit| job.need(unit)).collect();
        if job.units.iter().any(|unit| !unit.members.is_empty()) {
            self.list_revision += 1;
        }
        for (position, unit) in job.units.iter().enumerate() {
            for (index, member) in unit.members.iter().enumerate() {
                let inherited_end = self.lease_bounds.inherited_end(&member.endpoint, member.born);
                let (leases_end_at, source) = match inherited_end {
                    Some((bound, source)) if bound <= former_end_at => (bound, source),
                    _ => (former_end_at, LeaseSource::FormerLeader),
                };
                let endpoint = self.endpoints.entry(Arc::clone(&member.endpoint)).or_insert_with(|| {
                    let mut endpoint = Endpoint::new(placeholder_entry(member.born), leases_end_at, Some(fence));
                    endpoint.lease_source = source;
                    endpoint.listed = false;
                    endpoint
                });
                // The bound of a listed endpoint stands for what is not known of former leaders.
                if endpoint.runs.is_empty() && endpoint.lease_source == LeaseSource::Listed && !endpoint.contacted {
                    endpoint.leases_end_at = 0;
                }
                let placed_run = PlacedRun {
                    job: Arc::clone(id),
                    unit: position,
                    member: index,
                    kind: Arc::clone(job.kind(position)),
                    room: need[position],
                    ends_at: now,
                };
                // A start of the former leader may still be on its way to a later incarnation, whose clock began anew.
                if member.born < endpoint.entry.born {
                    endpoint.put_off_lease_end(latest_end_at + LATE_ORDER_MAX_MS, LeaseSource::Restart);
                } else {
                    endpoint.put_off_lease_end(leases_end_at, source);
                }
                // The list may lag behind the record; until it catches up, entries of earlier incarnations are stale.
                endpoint.entry.born = endpoint.entry.born.max(member.born);
                endpoint.add_run(Arc::clone(&member.task), unit.run, placed_run);
            }
        }
        self.jobs.insert(Arc::clone(id), job);
        self.changed = true;
        if phase.is_final() {
            self.end_job(id, phase, now);
        }
    }

    /// Cancels a job at the request of a caller.
    pub fn cancel(&mut self, id: &str, now: u64) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let id = Arc::clone(id);
        self.end_job(&id, Phase::Cancelled, now);
    }

    /// Applies a new list entry of an endpoint; `None` if the entry was removed.
    pub fn update_endpoint(&mut self, name: &Arc<str>, entry: Option<EndpointEntry>, now: u64) {
        let Some(entry) = entry else {
            if let Some(endpoint) = self.endpoints.get_mut(name) {
                if endpoint.listed {
                    log::info!(endpoint:% = name, runs = endpoint.runs.len(); "endpoint removed from the list");
                }
                endpoint.listed = false;
                self.changed = true;
            }
            return;
        };
        let leases_end_at = now + self.longest_lease_ms();
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            let speed_estimate = self.restored_speeds.remove(&(Arc::clone(name), entry.born));
            let leaves_at = entry.remaining_ms.map(|remaining| now.saturating_add(remaining));
            let dropped = self.dropped_endpoints.remove(name);
            let restarted = dropped.is_some_and(|born| born != entry.born);
            let mut endpoint = Endpoint::new(entry, leases_end_at, (!restarted).then_some(self.fence));
            endpoint.contacted = dropped.is_some();
            endpoint.leaves_at = leaves_at;
            endpoint.speed_estimate = speed_estimate.unwrap_or_default();
            self.endpoints.insert(Arc::clone(name), endpoint);
            self.list_revision += 1;
            self.changed = true;
            return;
        };
        if endpoint.entry.born == entry.born || endpoint.entry.born == 0 {
            if entry.draining && !endpoint.entry.draining {
                log::info!(endpoint:% = name, remaining_ms:? = entry.remaining_ms; "endpoint is draining");
            }
            endpoint.leaves_at = entry.remaining_ms.map(|remaining| now.saturating_add(remaining));
            // Endpoints write their entries again with each heartbeat, mostly unchanged.
            endpoint.entry_born = entry.born;
            if endpoint.entry != entry || !endpoint.listed {
                endpoint.entry = entry;
                endpoint.listed = true;
                self.list_revision += 1;
                self.changed = true;
            }
            return;
        }
        if entry.born < endpoint.entry.born {
            return;
        }
        self.replace_incarnation(name, entry, now);
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.listed = true;
        }
    }

    /// Longest lease by the leader's clock, including clock drift and a margin of 1 s.
    pub(super) fn longest_lease_ms(&self) -> u64 {
        (self.tuning.lease_ms as f64 * (1.0 + self.tuning.clock_drift)).ceil() as u64 + 1_000
    }

    /// Contents of the next hold of an endpoint; `None` if it needs none.
    pub fn hold(&mut self, name: &Arc<str>, now: u64) -> Option<Hold> {
        let endpoint = self.endpoints.get_mut(name)?;
        let fence = endpoint.fence.filter(|_| endpoint.wants_hold(now))?;
        let lease_end = endpoint.lease_bound(&self.tuning, now, endpoint.hold_span_ms(&self.tuning));
        let may_lease = !self.lease_bounds.contains(name) && self.lease_bounds.drain.allows(name, lease_end);
        Some(endpoint.hold(&self.tuning, fence, may_lease, now))
    }

    /// Grants the lease of a start that is about to be sent at `now` and returns its end on the clock of the endpoint.
    /// `None` if the start must not be sent: the clock is not known, the run has been given up since the start was decided,
    /// no lease may be granted there, or its failure domain is closed or may have been closed.
    pub fn lease_start(&mut self, start: &Start, now: u64) -> Option<u64> {
        let unit = self.jobs.get(&start.job)?.units.get(start.unit)?;
        let member = unit.members.get(start.member)?;
        if unit.run != start.run
            || member.endpoint != start.endpoint
            || member.born != start.born
            || !matches!(member.state, MemberState::Sent { .. })
        {
            return None;
        }
        if self.withholds_starts(&start.endpoint, now) {
            return None;
        }
        let endpoint = self.endpoints.get_mut(&start.endpoint)?;
        let span = self.tuning.start_lease_ms;
        let until = endpoint.lease_end_at(now, span)?;
        if !self
            .lease_bounds
            .allows(&start.endpoint, endpoint.lease_bound(&self.tuning, now, span))
        {
            return None;
        }
        endpoint.extend_leases(&self.tuning, now, span);
        Some(until)
    }

    /// Whether an endpoint lists ends whose consequences are not stored yet; it lists them again until they are.
    pub fn has_unstored_ends(&self, name: &str) -> bool {
        let endpoint = self.endpoints.get(name);
        endpoint.is_some_and(|endpoint| endpoint.last_end > endpoint.last_end_stored)
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Number of orders of which it is not known whether they were carried out.
    pub fn orders_in_doubt(&self) -> usize {
        let members = self
            .jobs
            .values()
            .flat_map(|job| &job.units)
            .flat_map(|unit| &unit.members);
        members
            .filter(|member| {
                matches!(
                    member.state,
                    MemberState::Recovered
                        | MemberState::Sent { tries: 2.., .. }
                        | MemberState::Stopping { acked_at: None, .. }
                )
            })
            .count()
    }

    /// Number of jobs whose changes are not stored yet.
    pub fn unstored_jobs(&self) -> usize {
        self.dirty.len()
    }

    /// Number of endpoints that accept new work.
    pub fn open_endpoints(&self, now: u64) -> usize {
        let endpoints = self.endpoints.values();
        endpoints.filter(|endpoint| self.accepts_work(endpoint, now)).count()
    }

    /// Stops placing units before the lead is given up: a start that is recorded and not sent would cost its unit a
    /// run.
    pub fn pause(&mut self) {
        self.paused = true;
    }

    /// Stops placing units of the jobs for which `applies` returns true, until they are resumed.
    pub fn suspend_jobs<F>(&mut self, applies: F)
    where
        F: Fn(&str) -> bool,
    {
        let jobs = self.jobs.keys().filter(|id| applies(id));
        self.suspended.extend(jobs.cloned());
    }

    /// Places units again of the suspended jobs for which `applies` returns true.
    pub fn resume_jobs<F>(&mut self, applies: F)
    where
        F: Fn(&str) -> bool,
    {
        self.suspended.retain(|id| !applies(id));
        self.changed = true;
    }

    /// When the next round is due, in milliseconds.
    fn next_round(&self) -> u64 {
        let spacing = (self.round_time_ms * ROUND_SPACING) as u64;
        let interval = if self.changed { ROUND_MIN_MS } else { ROUND_INTERVAL_MS };
        self.last_round + spacing.clamp(interval, ROUND_INTERVAL_MS)
    }

    /// Notes how long a [`step`](Self::step) at `now` took; if it ran a round, the next rounds keep a distance in
    /// proportion.
    pub fn record_step_time(&mut self, took: Duration, now: u64) {
        if self.last_round == now {
            let took_ms = took.as_secs_f64() * 1_000.0;
            self.round_time_ms += ROUND_TIME_WEIGHT * (took_ms - self.round_time_ms);
        }
    }

    /// Time until [`step`](Self::step) has to be called again, in milliseconds.
    pub fn ms_until_step(&self, now: u64) -> u64 {
        if self.is_stale(now) {
            return self.next_check.saturating_sub(now);
        }
        self.next_round().min(self.next_check).saturating_sub(now)
    }

    /// Runs the periodic checks and a scheduling round if they are due; returns the orders to send.
    pub fn step(&mut self, now: u64, wall_ms: u64) -> Vec<Effect> {
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL_MS;
            self.expire_leases(now);
            self.resend(now);
            self.evacuate(now);
            self.update_drain_bounds(now);
            self.update_interfering(now);
        }
        if now >= self.next_round() && !self.paused && !self.is_stale(now) {
            self.changed = false;
            self.last_round = now;
            self.round(now, wall_ms);
        }
        std::mem::take(&mut self.effects)
    }
}

/// Queue of a job by the configuration or, if that has removed the queue, with the settings of its acceptance.
pub(super) fn queue_of(config: &SiteConfig, submission: &Submission) -> Option<Arc<Queue>> {
    if let Some(queue) = config.queues.get(&*submission.queue) {
        return Some(Arc::clone(queue));
    }
    // An older configuration may not have the queue yet.
    let settings = submission.settings.as_ref();
    let settings = settings.filter(|settings| settings.config_version <= config.version)?;
    Some(Arc::new(settings.queue(&submission.queue)))
}

/// Entry of an endpoint that is known only from a stored record.
fn placeholder_entry(born: u64) -> EndpointEntry {
    EndpointEntry {
        pool: Arc::from(""),
        address: Arc::from(""),
        domain: Arc::from(""),
        born,
        draining: false,
        remaining_ms: None,
        warm_up_left_ms: 0,
        capacity: Resources::default(),
        labels: Vec::new(),
        rack: None,
    }
}
