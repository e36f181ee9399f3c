//! Endpoints as the dispatcher sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{SpeedEstimate, Tuning};
use crate::port::{EndpointEntry, Room};

/// Time for an order on its way, added to bounds of leases, in milliseconds.
const ORDER_TRANSIT_MS: u64 = 500;

/// What the next hold of an endpoint should say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Address, `host:port`.
    pub address: Arc<str>,
    /// Ends up to this number may be forgotten.
    pub seen: u64,
    /// End of the lease on the clock of the endpoint; `None` if that clock is not known yet.
    pub lease_end: Option<u64>,
    /// How long the endpoint may wait for an end.
    pub wait: Duration,
}

/// Where a run on an endpoint belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedRun {
    /// Id of the job.
    pub job: Arc<str>,
    /// Position of the unit.
    pub unit: usize,
    /// Index of the member.
    pub member: usize,
    /// Room that it takes.
    pub room: Room,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Latest entry; kept after it was removed, while runs may be left.
    pub entry: EndpointEntry,
    /// The entry is in the store.
    pub listed: bool,
    /// Clock of the endpoint at a time of ours, both in milliseconds.
    pub clock: Option<(u64, u64)>,
    /// Number of the last end that was taken in.
    pub last_end: u64,
    /// Number of the last end whose consequences are last_end_stored.
    pub last_end_stored: u64,
    /// Number of the last end that the endpoint was allowed to forget.
    pub last_end_acked: u64,
    /// Time by which everything on it has lapsed, in milliseconds.
    pub leases_end_at: u64,
    /// Time by which everything on it has lapsed if the hold under way renews its lease, in milliseconds.
    pub renewal_ends_at: u64,
    /// It has reported to this leader in this life.
    pub reported: bool,
    /// Runs that may be on it, by task and run.
    pub runs: BTreeMap<(Arc<str>, u32), PlacedRun>,
    /// Room that they take.
    pub used: Room,
    /// Jobs whose runs failed here since the last run that ended well.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// No new work before this time, in milliseconds.
    pub backoff_until: u64,
    /// Length of the last quarantine, in milliseconds.
    pub quarantine_ms: u64,
    /// Holds without an answer since the last answer.
    pub missed_holds: u32,
    /// When it leaves at the earliest, if it drains, in milliseconds.
    pub leaves_at: Option<u64>,
    /// Learned speed.
    pub speed_estimate: SpeedEstimate,
}

impl Endpoint {
    /// A new life that nothing is known of.
    pub fn new(entry: EndpointEntry, leases_end_at: u64) -> Self {
        Self {
            entry,
            listed: true,
            clock: None,
            last_end: 0,
            last_end_stored: 0,
            last_end_acked: 0,
            leases_end_at,
            renewal_ends_at: 0,
            reported: false,
            runs: BTreeMap::new(),
            used: Room::default(),
            failed_jobs: BTreeSet::new(),
            backoff_until: 0,
            quarantine_ms: 0,
            missed_holds: 0,
            leaves_at: None,
            speed_estimate: SpeedEstimate::default(),
        }
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: Arc<str>, run: u32, placed_run: PlacedRun) {
        self.used = self.used.plus(&placed_run.room);
        self.runs.insert((task, run), placed_run);
    }

    /// Removes a run that is gone.
    pub fn remove_run(&mut self, task: &Arc<str>, run: u32) {
        if let Some(placed_run) = self.runs.remove(&(Arc::clone(task), run)) {
            self.used = self.used.minus(&placed_run.room);
        }
    }

    /// Room that is not taken.
    pub fn free(&self) -> Room {
        self.entry.capacity.minus(&self.used)
    }

    /// Whether it may get new work.
    pub fn is_open(&self, now: u64) -> bool {
        self.listed && !self.entry.draining && self.reported && self.backoff_until <= now && self.missed_holds < 2
    }

    /// Whether it has to be hold_ended or asked.
    pub fn wants_hold(&self) -> bool {
        if !self.runs.is_empty() || self.last_end_stored > self.last_end_acked {
            return true;
        }
        // A fence that has not reached an endpoint yet must do so before the first order.
        self.listed && !self.reported
    }

    /// What the next hold says, sent at `now`.
    pub fn hold(&mut self, tuning: &Tuning, now: u64) -> Hold {
        let idle = self.runs.is_empty();
        // What is left on a silent endpoint has to lapse some time, also if only its answers are lost.
        let renews = !idle && self.missed_holds < tuning.missed_holds_max;
        let span = if self.entry.draining {
            tuning.start_lease_ms
        } else {
            tuning.lease_ms
        };
        let lease_end = if renews { self.lease_end_at(now, span) } else { None };
        self.renewal_ends_at = lease_end.map_or(0, |_| leases_end_by(tuning, now, span));
        // Ends that are not last_end_stored yet would be listed again at once.
        let settled = self.last_end_stored == self.last_end && self.reported;
        let wait = if idle || !settled { 0 } else { tuning.hold_wait_ms };
        Hold {
            address: Arc::clone(&self.entry.address),
            seen: self.last_end_stored,
            lease_end,
            wait: Duration::from_millis(wait),
        }
    }

    /// Notes that a lease of `span_ms` was granted in an order sent at `now`.
    pub fn extend_leases(&mut self, tuning: &Tuning, now: u64, span_ms: u64) {
        self.leases_end_at = self.leases_end_at.max(leases_end_by(tuning, now, span_ms));
    }

    /// The hold under way has ended; `sent` tells whether it may have reached the endpoint.
    pub fn hold_ended(&mut self, sent: bool) {
        if sent {
            self.leases_end_at = self.leases_end_at.max(self.renewal_ends_at);
        }
        self.renewal_ends_at = 0;
    }

    /// Whether everything on it has lapsed for certain.
    pub fn leases_have_expired(&self, now: u64) -> bool {
        self.leases_end_at.max(self.renewal_ends_at) <= now
    }

    /// End of a lease on the clock of the endpoint.
    pub fn lease_end_at(&self, now: u64, span_ms: u64) -> Option<u64> {
        self.clock.map(|(clock, at)| clock + (now - at) + span_ms)
    }
}

/// Time by which a lease that an order grants at `now` has passed on a slow clock, in milliseconds.
fn leases_end_by(tuning: &Tuning, now: u64, span_ms: u64) -> u64 {
    let span = (span_ms as f64 * (1.0 + tuning.clock_drift)).ceil() as u64;
    now + span + ORDER_TRANSIT_MS
}
