//! State of an endpoint: its runs, the bounds of their leases, and its health.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::lease_bound::UNLISTED_MISSED_HOLDS_MAX;
use super::probe_slots::ProbeSlots;
use super::{LeaseSource, SpeedEstimate, Tuning};
use crate::port::{EndpointEntry, Resources};

/// Consecutive holds without an answer from which an endpoint counts as silent.
const SILENT_MISSED_HOLDS: u32 = 2;

/// Allowance for the delivery of an order in lease bounds, in milliseconds.
const ORDER_TRANSIT_MS: u64 = 500;

/// Contents of a hold: the order that renews leases and asks for a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Address, `host:port`.
    pub address: Arc<str>,
    /// Fencing token for this incarnation of the endpoint.
    pub fence: u64,
    /// The endpoint may forget the ends of runs up to this number.
    pub seen: u64,
    /// End of the lease on the clock of the endpoint; `None` if the lease is not renewed or that clock is not known
    /// yet.
    pub lease_end: Option<u64>,
    /// How long the endpoint may delay its answer while no run ends.
    pub wait: Duration,
}

/// A run that may exist on an endpoint: the member to which it belongs and what it takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedRun {
    /// Id of the job.
    pub job: Arc<str>,
    /// Position of the unit.
    pub unit: usize,
    /// Index of the member.
    pub member: usize,
    /// Kind of its task; see [`Job::kind`](super::Job::kind).
    pub kind: Arc<str>,
    /// Resources that it takes.
    pub room: Resources,
    /// When its unit is expected to end, in milliseconds, as of the last report about it.
    pub ends_at: u64,
}

/// An endpoint, listed or known from stored records.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Latest list entry; kept after the removal from the list for as long as runs may exist.
    pub entry: EndpointEntry,
    /// Start time of the incarnation that wrote the entry or reported from its address. A stored record may name a later
    /// one, which `entry.born` then is.
    pub(super) entry_born: u64,
    /// The entry is still in the list.
    pub listed: bool,
    /// Clock of the endpoint and the local time of that reading, both in milliseconds.
    pub clock: Option<(u64, u64)>,
    /// Number of the last end of a run that was processed.
    pub last_end: u64,
    /// Numbers of the last ends of reports whose consequences are not stored yet, and the position in the queue of
    /// changed jobs up to which these have to be stored.
    pub(super) unstored_ends: VecDeque<(u64, u64)>,
    /// Number of the last end whose consequences are stored.
    pub last_end_stored: u64,
    /// Number of the last end that the endpoint has been told to forget.
    pub last_end_acked: u64,
    /// Time by which all leases on it have expired, in milliseconds.
    pub leases_end_at: u64,
    /// What that time rests on.
    pub lease_source: LeaseSource,
    /// Time by which the leases that this leader granted have expired, in milliseconds.
    granted_until: u64,
    /// When this leader last granted a lease to its present incarnation, in milliseconds.
    pub(super) leased_at: Option<u64>,
    /// The same if the unanswered hold renews the lease; 0 if it renews none.
    pub renewal_ends_at: u64,
    /// Its present incarnation has reported to this leader.
    pub reported: bool,
    /// Fencing token of orders to its present incarnation; `None` until one is stored that is higher than those of
    /// orders to earlier incarnations, which may be carried out late.
    pub fence: Option<u64>,
    /// When the token was assigned, in milliseconds; answers to earlier orders are void.
    pub fenced_at: u64,
    /// This leader has sent orders to its present incarnation.
    pub contacted: bool,
    /// Number of unexpected runs in its last report; they take resources until they have stopped.
    pub unexpected_runs: usize,
    /// Runs that may exist on it, by task and run number.
    pub runs: BTreeMap<(Arc<str>, u32), PlacedRun>,
    /// Number of these runs by kind of task.
    pub(super) kinds: BTreeMap<Arc<str>, u32>,
    /// Resources that these runs take.
    pub used: Resources,
    /// Jobs whose runs have failed here since the last successful run.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// No new work is placed here before this time, in milliseconds.
    pub backoff_until: u64,
    /// Length of the last quarantine, in milliseconds.
    pub quarantine_ms: u64,
    /// Consecutive holds without an answer.
    pub missed_holds: u32,
    /// Before this time it is asked for a report only if it may have runs, in milliseconds.
    pub(super) probe_at: u64,
    /// How long it gets no new work after it answers again, in milliseconds; rises with each silence until a run succeeds.
    pub(super) reopen_pause_ms: u64,
    /// Earliest time at which it leaves if it is draining, in milliseconds.
    pub leaves_at: Option<u64>,
    /// Learned speed.
    pub speed_estimate: SpeedEstimate,
    /// When tail latencies are observed again, in milliseconds.
    pub(super) tails_due: u64,
}

impl Endpoint {
    /// Creates a listed endpoint that has not reported yet.
    pub fn new(entry: EndpointEntry, leases_end_at: u64, fence: Option<u64>) -> Self {
        Self {
            entry_born: entry.born,
            entry,
            listed: true,
            clock: None,
            last_end: 0,
            unstored_ends: VecDeque::new(),
            last_end_stored: 0,
            last_end_acked: 0,
            leases_end_at,
            lease_source: LeaseSource::Listed,
            granted_until: 0,
            leased_at: None,
            renewal_ends_at: 0,
            reported: false,
            fence,
            fenced_at: 0,
            contacted: false,
            unexpected_runs: 0,
            runs: BTreeMap::new(),
            kinds: BTreeMap::new(),
            used: Resources::default(),
            failed_jobs: BTreeSet::new(),
            backoff_until: 0,
            quarantine_ms: 0,
            missed_holds: 0,
            probe_at: 0,
            reopen_pause_ms: 0,
            leaves_at: None,
            speed_estimate: SpeedEstimate::default(),
            tails_due: 0,
        }
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: Arc<str>, run: u32, placed_run: PlacedRun) {
        self.used = self.used.plus(&placed_run.room);
        *self.kinds.entry(Arc::clone(&placed_run.kind)).or_default() += 1;
        self.runs.insert((task, run), placed_run);
    }

    /// Removes a run that is gone.
    pub fn remove_run(&mut self, task: &Arc<str>, run: u32) {
        if let Some(placed_run) = self.runs.remove(&(Arc::clone(task), run)) {
            self.used = self.used.minus(&placed_run.room);
            if let Some(runs) = self.kinds.get_mut(&placed_run.kind) {
                *runs -= 1;
                if *runs == 0 {
                    self.kinds.remove(&placed_run.kind);
                }
            }
        }
    }

    /// Sets when the unit of a run is expected to end.
    pub fn expect_end(&mut self, task: &Arc<str>, run: u32, ends_at: u64) {
        if let Some(placed_run) = self.runs.get_mut(&(Arc::clone(task), run)) {
            placed_run.ends_at = ends_at;
        }
    }

    /// Resources that no run takes.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Whether new work may be placed on it.
    pub fn is_open(&self, now: u64) -> bool {
        let accepts = self.listed && !self.entry.draining && self.reported && self.unexpected_runs == 0;
        accepts && self.backoff_until <= now && !self.is_silent()
    }

    /// Whether it has left several holds in a row without an answer.
    pub fn is_silent(&self) -> bool {
        self.missed_holds >= SILENT_MISSED_HOLDS
    }

    /// Whether a hold has to be sent: to renew leases, to release stored ends, to fetch the first report, or to find out
    /// whether a silent endpoint answers again.
    pub fn wants_hold(&self, now: u64) -> bool {
        if self.fence.is_none() {
            return false;
        }
        if self.has_runs() {
            return true;
        }
        // The fencing token of this leader must reach the endpoint before the first order does.
        let needs_report = self.listed && (!self.reported || self.is_silent());
        (needs_report || self.last_end_stored > self.last_end_acked) && self.probe_at <= now
    }

    /// Whether runs may exist on it, expected or not.
    fn has_runs(&self) -> bool {
        !self.runs.is_empty() || self.unexpected_runs > 0
    }

    /// Notes that a hold has no answer.
    pub(super) fn hold_missed(&mut self, tuning: &Tuning, slots: &mut ProbeSlots, now: u64) {
        let pause_ms = tuning.probe_pause_ms(self.missed_holds);
        self.missed_holds = self.missed_holds.saturating_add(1);
        if !self.has_runs() {
            self.probe_at = slots.take(now + pause_ms, now);
        }
    }

    /// Notes that a hold was answered. An endpoint that falls silent again and again is used after growing pauses only.
    pub(super) fn hold_answered(&mut self, tuning: &Tuning, now: u64) {
        if self.is_silent() {
            self.backoff_until = self.backoff_until.max(now + self.reopen_pause_ms);
            self.reopen_pause_ms = tuning.next_reopen_pause_ms(self.reopen_pause_ms);
        }
        self.missed_holds = 0;
        self.probe_at = 0;
    }

    /// Notes that a run has succeeded on it.
    pub(super) fn run_succeeded(&mut self) {
        self.failed_jobs.clear();
        self.quarantine_ms = 0;
        self.reopen_pause_ms = 0;
    }

    /// Length of the lease that a hold grants, in milliseconds.
    pub(super) fn hold_span_ms(&self, tuning: &Tuning) -> u64 {
        if self.entry.draining {
            tuning.start_lease_ms
        } else {
            tuning.lease_ms
        }
    }

    /// Contents of the next hold, sent at `now` with the fencing token `fence`.
    /// A lease is granted only if `may_lease`.
    pub fn hold(&mut self, tuning: &Tuning, fence: u64, may_lease: bool, now: u64) -> Hold {
        self.contacted = true;
        let idle = self.runs.is_empty();
        // The leases on an unresponsive endpoint must expire at some point, even if only its answers are lost.
        let missed_max = if self.listed {
            tuning.missed_holds_max
        } else {
            UNLISTED_MISSED_HOLDS_MAX
        };
        let renews = may_lease && !idle && self.missed_holds < missed_max;
        let span = self.hold_span_ms(tuning);
        let lease_end = if renews { self.lease_end_at(now, span) } else { None };
        if lease_end.is_some() {
            self.leased_at = Some(now);
        }
        self.renewal_ends_at = lease_end.map_or(0, |_| self.lease_bound(tuning, now, span));
        // Ends that are not stored yet are listed again, so the endpoint would answer at once anyway.
        let settled = self.last_end_stored == self.last_end && self.reported;
        let wait = if idle && self.unexpected_runs == 0 || !settled {
            0
        } else {
            tuning.hold_wait_ms
        };
        Hold {
            address: Arc::clone(&self.entry.address),
            fence,
            seen: self.unacked_end(),
            lease_end,
            wait: Duration::from_millis(wait),
        }
    }

    /// Number of the last stored end that the endpoint has not confirmed to have forgotten; 0 if there is none, or if the
    /// last hold has no answer. The endpoint may have restarted then, and a later incarnation would forget ends of its
    /// own.
    fn unacked_end(&self) -> u64 {
        if self.missed_holds == 0 && self.last_end_stored > self.last_end_acked {
            self.last_end_stored
        } else {
            0
        }
    }

    /// Number of the last end whose consequences are stored once no job before `position` of the queue has changes left;
    /// `None` if there is no further one.
    pub(super) fn storable_end(&self, position: u64) -> Option<u64> {
        let stored = self.unstored_ends.iter().take_while(|(_, needed)| *needed <= position);
        stored.last().map(|(number, _)| *number)
    }

    /// Notes that the consequences of all ends up to a number are stored.
    pub(super) fn ends_stored(&mut self, number: u64) {
        self.last_end_stored = self.last_end_stored.max(number);
        self.unstored_ends.retain(|(unstored, _)| *unstored > number);
    }

    /// Notes that a lease of `span_ms` was granted in an order sent at `now`.
    pub fn extend_leases(&mut self, tuning: &Tuning, now: u64, span_ms: u64) {
        self.leased_at = Some(now);
        self.note_granted(self.lease_bound(tuning, now, span_ms));
    }

    /// Notes that a lease of this leader may last until `ends_at`.
    fn note_granted(&mut self, ends_at: u64) {
        self.granted_until = self.granted_until.max(ends_at);
        self.put_off_lease_end(ends_at, LeaseSource::OwnGrant);
    }

    /// Notes that leases may last until `ends_at`.
    pub(super) fn put_off_lease_end(&mut self, ends_at: u64, source: LeaseSource) {
        if ends_at > self.leases_end_at {
            self.leases_end_at = ends_at;
            self.lease_source = source;
        }
    }

    /// Notes that all leases that others than this leader granted have ended by `ends_at`.
    ///
    /// An endpoint that has answered an order with the token of this leader refuses those of former leaders, also those
    /// still on their way, so none of their leases is granted after the answer. This does not hold for a restarted
    /// endpoint, which keeps the margin for orders that reach the wrong incarnation.
    pub(super) fn limit_former_leases(&mut self, ends_at: u64) {
        let ends_at = ends_at.max(self.granted_until);
        if self.lease_source != LeaseSource::Restart && ends_at < self.leases_end_at {
            self.leases_end_at = ends_at;
            self.lease_source = LeaseSource::FirstReport;
        }
    }

    /// Notes that a hold was answered or failed; `sent` tells whether it may have reached the endpoint.
    pub fn hold_ended(&mut self, sent: bool) {
        if sent {
            self.note_granted(self.renewal_ends_at);
        }
        self.renewal_ends_at = 0;
    }

    /// Whether all leases on it have certainly expired.
    pub fn leases_have_expired(&self, now: u64) -> bool {
        self.leases_end() <= now
    }

    /// Time by which all leases on it have ended, in milliseconds.
    pub(super) fn leases_end(&self) -> u64 {
        self.leases_end_at.max(self.renewal_ends_at)
    }

    /// End of a lease granted at `now`, on the clock of the endpoint; `None` if that clock is not known.
    pub fn lease_end_at(&self, now: u64, span_ms: u64) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock.saturating_add(now.saturating_sub(at)).saturating_add(span_ms))
    }

    /// Time by which a lease granted in an order sent at `now` has expired even on a slow clock, in milliseconds.
    pub(super) fn lease_bound(&self, tuning: &Tuning, now: u64, span_ms: u64) -> u64 {
        // A slow clock also lags behind the estimate by what it has lost since it was read.
        let age = self.clock.map_or(0, |(_, at)| now.saturating_sub(at));
        let lag = (age as f64 * tuning.clock_drift).ceil() as u64;
        now + ((span_ms + lag) as f64 * (1.0 + tuning.clock_drift)).ceil() as u64 + ORDER_TRANSIT_MS
    }
}
