//! Failure detection of the leader by a follower.
//!
//! Ages are measured on the clock of the store, so that a follower that was disconnected or suspended does not count
//! that time against the leader.

use std::sync::Arc;

use prost::Message;

use super::leader::{OFFER_KEY, SINGLE_ROW_KEY};
use super::{Heartbeat, Offer, Timing};
use crate::port::Row;

/// Time between two answers of the store, beyond the wait, after which the age of the heartbeat is counted from zero
/// again, in milliseconds. A leader cannot write heartbeats while the store is unavailable.
const ANSWER_GAP_MAX_MS: u64 = 1_500;

/// How many times the response time of the store is added to the heartbeat timeout: for the leader's write, the write
/// under way before it, and the read by this instance. An offer waits for the same multiple of the takeover delay.
const DELAY_FACTOR: u64 = 3;

/// Additional delay of all other instances when the leader has named its successor, in milliseconds. The successor
/// needs one read and one write to take over.
const SUCCESSOR_DELAY_MS: u64 = 1_000;

/// Least time that a leader has led before another instance offers to replace it, in milliseconds. A takeover takes
/// about half of it.
const OFFER_LEAST_TERM_MS: u64 = 2_000;

/// Least ratio of the processor shares of an instance and the leader it offers to replace, in percent.
const OFFER_SIZE_PERCENT: u32 = 150;

/// Factor by which the takeover delay is longer if there has never been a leader. All machines of a new site start within
/// 0.3 s, and a small instance that starts first would otherwise lead although larger ones are about to start.
const FIRST_TAKEOVER_FACTOR: u64 = 8;

/// Longest response time of the store at which an offer is made, in milliseconds; a change of leader reads and writes
/// many rows.
const OFFER_RESPONSE_MAX_MS: u64 = 50;

/// Time after which an offer without effect may be repeated, in milliseconds.
const OFFER_REPEAT_MS: u64 = 4_000;

/// Shortest wait for a heartbeat, in milliseconds; about as long as a call, so that calls do not follow each other
/// without a pause.
const WAIT_MIN_MS: u64 = 10;

/// Next step of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerAction {
    /// Wait for the next heartbeat.
    Follow,
    /// Read the table again after this number of milliseconds.
    CheckAgain(u64),
    /// Try to take over; holds the fencing token of the last leader.
    TakeOver(u64),
    /// Release leadership that an earlier process of this instance held.
    ReleaseStale,
    /// Offer to replace a smaller leader that is short of processor time.
    Offer {
        /// Fencing token of that leader.
        fence: u64,
        /// Version of the offer row; 0 if there is none.
        version: u64,
    },
}

/// Tracks heartbeats of the leader and offers to replace it, and decides what the follower does next.
#[derive(Debug, Clone)]
pub struct LeaderMonitor {
    name: Arc<str>,
    timing: Timing,
    /// Latest heartbeat.
    heartbeat: Option<Heartbeat>,
    /// Clock of the store from which the age of the heartbeat is counted.
    age_start: Option<u64>,
    /// Fencing token of the leader, and the clock of the store when it was first seen.
    term: Option<(u64, u64)>,
    /// Clock of the store when the latest offer to replace that leader was seen.
    offered_at: Option<u64>,
    /// Version of the offer row.
    offer_version: u64,
    /// Local time of the last answer of the store.
    answered_at: u64,
    /// Response time of the store, without the wait that the call asked for.
    response_ms: u64,
}

/// An answer of the store with rows of the [`LEAD`](super::LEAD) table.
#[derive(Debug)]
pub struct Observation<'r> {
    /// All rows of the table, or those that changed.
    pub rows: &'r [Row],
    /// Whether `rows` holds the whole table.
    pub complete: bool,
    /// Clock of the store.
    pub clock_ms: u64,
    /// Local time when the call was sent.
    pub sent_at: u64,
    /// Local time when it was answered.
    pub answered_at: u64,
    /// Longest wait for a change that the call asked for, in milliseconds; an answer without changes has waited that
    /// long.
    pub wait_ms: u64,
}

impl LeaderMonitor {
    /// A monitor that has observed nothing yet at the local time `now`.
    pub fn new(name: Arc<str>, timing: Timing, now: u64) -> Self {
        Self {
            name,
            timing,
            heartbeat: None,
            age_start: None,
            term: None,
            offered_at: None,
            offer_version: 0,
            answered_at: now,
            response_ms: 0,
        }
    }

    /// Name of the leader in the latest heartbeat.
    pub fn holder(&self) -> Option<&str> {
        self.heartbeat.as_ref().map(|heartbeat| &*heartbeat.holder)
    }

    /// Address at which the leader receives hints; empty if there is none.
    pub fn hint_address(&self) -> &str {
        self.heartbeat.as_ref().map_or("", |heartbeat| &heartbeat.hint_address)
    }

    /// Updates the monitor from an answer of the store.
    pub fn observe(&mut self, answer: &Observation<'_>) {
        let gap =
            answer.answered_at.saturating_sub(self.answered_at) > ANSWER_GAP_MAX_MS + self.timing.heartbeat_interval_ms;
        self.answered_at = answer.answered_at;
        let elapsed = answer.answered_at.saturating_sub(answer.sent_at);
        if answer.complete || answer.rows.is_empty() {
            let waited = if answer.complete { 0 } else { answer.wait_ms };
            self.response_ms = elapsed.saturating_sub(waited);
        } else {
            // The call ended early with a change, so the share of the wait in `elapsed` is unknown.
            self.response_ms = self.response_ms.max(elapsed.saturating_sub(answer.wait_ms));
        }
        if gap || self.age_start.is_none() {
            self.age_start = Some(answer.clock_ms);
        }
        for row in answer.rows {
            if *row.key == *OFFER_KEY {
                self.observe_offer(row, answer.clock_ms);
            } else if *row.key == *SINGLE_ROW_KEY {
                self.observe_heartbeat(row, answer.clock_ms);
            }
        }
    }

    fn observe_heartbeat(&mut self, row: &Row, clock_ms: u64) {
        let Some(heartbeat) = row.value.as_deref().and_then(|value| Heartbeat::decode(value).ok()) else {
            log::warn!("cannot decode the leader's heartbeat");
            return;
        };
        if self.heartbeat.as_ref() == Some(&heartbeat) {
            return;
        }
        let same_term = self
            .heartbeat
            .as_ref()
            .is_some_and(|last| last.holder == heartbeat.holder && !last.released);
        match &mut self.term {
            // A leader also raises its token during its term.
            Some((fence, _)) if same_term => *fence = heartbeat.fence,
            Some((fence, _)) if *fence == heartbeat.fence => {}
            term => {
                *term = Some((heartbeat.fence, clock_ms));
                self.offered_at = None;
            }
        }
        self.heartbeat = Some(heartbeat);
        self.age_start = Some(clock_ms);
    }

    fn observe_offer(&mut self, row: &Row, clock_ms: u64) {
        if row.version == self.offer_version {
            return;
        }
        self.offer_version = row.version;
        let offer = row.value.as_deref().and_then(|value| Offer::decode(value).ok());
        if offer.is_some_and(|offer| self.term.is_some_and(|(fence, _)| fence == offer.fence)) {
            self.offered_at = Some(clock_ms);
        }
    }

    /// Next step of the follower when the clock of the store shows `clock_ms`.
    pub fn next_action(&self, clock_ms: u64) -> FollowerAction {
        let Some(age_start) = self.age_start else {
            return FollowerAction::Follow;
        };
        let age = clock_ms.saturating_sub(age_start);
        let delay = self.timing.takeover_delay_ms;
        let take_over_after = |fence, wait_ms: u64| {
            if age >= wait_ms {
                FollowerAction::TakeOver(fence)
            } else {
                FollowerAction::CheckAgain(wait_ms - age)
            }
        };
        let Some(heartbeat) = &self.heartbeat else {
            return take_over_after(0, FIRST_TAKEOVER_FACTOR * delay);
        };
        if heartbeat.released {
            return match &*heartbeat.successor {
                "" => take_over_after(heartbeat.fence, delay),
                name if *name == *self.name => FollowerAction::TakeOver(heartbeat.fence),
                _ => take_over_after(heartbeat.fence, SUCCESSOR_DELAY_MS + delay),
            };
        }
        if *heartbeat.holder == *self.name {
            return FollowerAction::ReleaseStale;
        }
        if age >= self.takeover_age_ms() {
            return FollowerAction::TakeOver(heartbeat.fence);
        }
        if self.may_offer(heartbeat, clock_ms) {
            return FollowerAction::Offer {
                fence: heartbeat.fence,
                version: self.offer_version,
            };
        }
        FollowerAction::Follow
    }

    /// Age of the heartbeat at which this instance takes over, in milliseconds.
    fn takeover_age_ms(&self) -> u64 {
        self.timing.heartbeat_timeout_ms + DELAY_FACTOR * self.response_ms + self.timing.takeover_delay_ms
    }

    /// Longest wait of the next call for a heartbeat, in milliseconds, when the clock of the store shows `clock_ms`. It
    /// ends when this instance would take over, so that larger instances, whose takeover delay is shorter, come first.
    pub fn wait_ms(&self, clock_ms: u64) -> u64 {
        let age = self.age_start.map_or(0, |start| clock_ms.saturating_sub(start));
        self.takeover_age_ms()
            .saturating_sub(age)
            .clamp(WAIT_MIN_MS, self.timing.heartbeat_interval_ms)
    }

    fn may_offer(&self, heartbeat: &Heartbeat, clock_ms: u64) -> bool {
        if !heartbeat.overloaded
            || self.timing.millicores < heartbeat.millicores.saturating_mul(OFFER_SIZE_PERCENT) / 100
            || self.response_ms > OFFER_RESPONSE_MAX_MS
        {
            return false;
        }
        if self
            .offered_at
            .is_some_and(|at| clock_ms.saturating_sub(at) < OFFER_REPEAT_MS)
        {
            return false;
        }
        // The takeover delay lets the largest instance offer first.
        let (_, term_start) = self.term.unwrap_or_default();
        clock_ms.saturating_sub(term_start) >= OFFER_LEAST_TERM_MS + DELAY_FACTOR * self.timing.takeover_delay_ms
    }
}
