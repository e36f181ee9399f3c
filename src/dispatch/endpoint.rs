//! Endpoints as the dispatcher sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Pace, Tuning};
use crate::port::{EndpointEntry, Room};

/// Time for an order on its way, added to bounds of leases, in milliseconds.
const TRANSIT_MS: u64 = 500;

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
pub struct Occupant {
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
    pub seen: u64,
    /// Number of the last end whose consequences are stored.
    pub stored: u64,
    /// Number of the last end that the endpoint was allowed to forget.
    pub told: u64,
    /// Time by which everything on it has lapsed, in milliseconds.
    pub lapse_at: u64,
    /// Time by which everything on it has lapsed if the hold under way renews its lease, in milliseconds.
    pub renewing: u64,
    /// It has reported to this leader in this life.
    pub reported: bool,
    /// Runs that may be on it, by task and run.
    pub runs: BTreeMap<(Arc<str>, u32), Occupant>,
    /// Room that they take.
    pub used: Room,
    /// Jobs whose runs failed here since the last run that ended well.
    pub strikes: BTreeSet<Arc<str>>,
    /// No new work before this time, in milliseconds.
    pub shunned_until: u64,
    /// Length of the last quarantine, in milliseconds.
    pub quarantine_ms: u64,
    /// Holds without an answer since the last answer.
    pub silence: u32,
    /// When it leaves at the earliest, if it drains, in milliseconds.
    pub leaves_at: Option<u64>,
    /// Learned speed.
    pub pace: Pace,
}

impl Endpoint {
    /// A new life that nothing is known of.
    pub fn new(entry: EndpointEntry, lapse_at: u64) -> Self {
        Self {
            entry,
            listed: true,
            clock: None,
            seen: 0,
            stored: 0,
            told: 0,
            lapse_at,
            renewing: 0,
            reported: false,
            runs: BTreeMap::new(),
            used: Room::default(),
            strikes: BTreeSet::new(),
            shunned_until: 0,
            quarantine_ms: 0,
            silence: 0,
            leaves_at: None,
            pace: Pace::default(),
        }
    }

    /// Adds a run.
    pub fn occupy(&mut self, task: Arc<str>, run: u32, occupant: Occupant) {
        self.used = self.used.plus(&occupant.room);
        self.runs.insert((task, run), occupant);
    }

    /// Removes a run that is gone.
    pub fn vacate(&mut self, task: &Arc<str>, run: u32) {
        if let Some(occupant) = self.runs.remove(&(Arc::clone(task), run)) {
            self.used = self.used.minus(&occupant.room);
        }
    }

    /// Room that is not taken.
    pub fn free(&self) -> Room {
        self.entry.capacity.minus(&self.used)
    }

    /// Whether it may get new work.
    pub fn is_open(&self, now: u64) -> bool {
        self.listed && !self.entry.draining && self.reported && self.shunned_until <= now && self.silence < 2
    }

    /// Whether it has to be held or asked.
    pub fn wants_hold(&self) -> bool {
        if !self.runs.is_empty() || self.stored > self.told {
            return true;
        }
        // A fence that has not reached an endpoint yet must do so before the first order.
        self.listed && !self.reported
    }

    /// What the next hold says, sent at `now`.
    pub fn hold(&mut self, tuning: &Tuning, now: u64) -> Hold {
        let idle = self.runs.is_empty();
        // What is left on a silent endpoint has to lapse some time, also if only its answers are lost.
        let renews = !idle && self.silence < tuning.silence_max;
        let span = if self.entry.draining {
            tuning.start_lease_ms
        } else {
            tuning.lease_ms
        };
        let lease_end = if renews { self.until(now, span) } else { None };
        self.renewing = lease_end.map_or(0, |_| bound(tuning, now, span));
        // Ends that are not stored yet would be listed again at once.
        let settled = self.stored == self.seen && self.reported;
        let wait = if idle || !settled { 0 } else { tuning.hold_wait_ms };
        Hold {
            address: Arc::clone(&self.entry.address),
            seen: self.stored,
            lease_end,
            wait: Duration::from_millis(wait),
        }
    }

    /// Notes that a lease of `span_ms` was granted in an order sent at `now`.
    pub fn leased(&mut self, tuning: &Tuning, now: u64, span_ms: u64) {
        self.lapse_at = self.lapse_at.max(bound(tuning, now, span_ms));
    }

    /// The hold under way has ended; `sent` tells whether it may have reached the endpoint.
    pub fn held(&mut self, sent: bool) {
        if sent {
            self.lapse_at = self.lapse_at.max(self.renewing);
        }
        self.renewing = 0;
    }

    /// Whether everything on it has lapsed for certain.
    pub fn has_lapsed(&self, now: u64) -> bool {
        self.lapse_at.max(self.renewing) <= now
    }

    /// End of a lease on the clock of the endpoint.
    pub fn until(&self, now: u64, span_ms: u64) -> Option<u64> {
        self.clock.map(|(clock, at)| clock + (now - at) + span_ms)
    }
}

/// Time by which a lease that an order grants at `now` has passed on a slow clock, in milliseconds.
fn bound(tuning: &Tuning, now: u64, span_ms: u64) -> u64 {
    let span = (span_ms as f64 * (1.0 + tuning.clock_drift)).ceil() as u64;
    now + span + TRANSIT_MS
}
