//! What a follower knows of the leader, and what follows from it.
//!
//! Ages are measured on the clock of the store, so that a follower that was cut off or suspended does not take a leader for
//! dead that it has not asked about.

use std::sync::Arc;

use prost::Message;

use super::leader::{OFFER, ONLY};
use super::{Heartbeat, Offer, Timing};
use crate::port::Row;

/// Longest time between two answers of the store, beside the wait, after which the age of a renewal is counted anew, in
/// milliseconds. While the store is away no leader can renew.
const GAP_MS: u64 = 1_500;

/// How often the time that an answer takes is added to the age at which the lead is taken: the leader's write, the one
/// under way before it, and our read of it.
const DELAY_TIMES: u64 = 3;

/// How much longer others wait for the instance that a leader has named as its successor, in milliseconds; it needs one
/// read and one write.
const SUCCESSOR_MS: u64 = 1_000;

/// How long a leader leads at least before another offers to take over, in milliseconds. A takeover costs about half of it.
const SETTLED_MS: u64 = 2_000;

/// How many times as large as the leader an instance has to be to offer.
const LARGER: u32 = 2;

/// Time that answers of the store may take for an offer, in milliseconds: a change of the leader reads and writes a lot.
const PROMPT_MS: u64 = 50;

/// Time after which an offer that was not taken up is made again, in milliseconds.
const OFFER_AGAIN_MS: u64 = 4_000;

/// Least wait for a renewal, in milliseconds; about the time of a call, so that calls do not follow each other at once.
const WAIT_MIN_MS: u64 = 10;

/// What a follower should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Go on following.
    Follow,
    /// Look again after so many milliseconds.
    LookAgain(u64),
    /// Try to take the lead; holds the fencing token of the last leader.
    Take(u64),
    /// Announce that a former life of this process no longer leads.
    Resign,
    /// Offer to lead instead of a smaller instance that is short of processor.
    Offer {
        /// Fencing token of that leader.
        fence: u64,
        /// Version of the row of offers; 0 for none.
        version: u64,
    },
}

/// What a follower knows of the leader.
#[derive(Debug, Clone)]
pub struct Watch {
    name: Arc<str>,
    timing: Timing,
    /// Latest renewal, and the clock of the store since when it is known.
    beat: Option<Heartbeat>,
    since: Option<u64>,
    /// Clock of the store when the leader of this fencing token was first seen.
    reign: Option<(u64, u64)>,
    /// Latest offer for that leader, by the clock of the store.
    offer: Option<u64>,
    /// Version of the row of offers.
    version: u64,
    /// When the store last answered, on our clock.
    answered: u64,
    /// Time that an answer takes beside the wait it was asked for.
    delay_ms: u64,
}

/// An answer of the store about the leader.
#[derive(Debug)]
pub struct Heard<'r> {
    /// Rows of the table, or those that changed.
    pub rows: &'r [Row],
    /// All rows were read.
    pub whole: bool,
    /// Clock of the store.
    pub clock_ms: u64,
    /// When the call was sent, on our clock.
    pub sent: u64,
    /// When it was answered.
    pub now: u64,
    /// Wait that the call asked for, in milliseconds; it is used up where nothing changed.
    pub wait_ms: u64,
}

impl Watch {
    /// A follower that has heard nothing at `now`.
    pub fn new(name: Arc<str>, timing: Timing, now: u64) -> Self {
        Self {
            name,
            timing,
            beat: None,
            since: None,
            reign: None,
            offer: None,
            version: 0,
            answered: now,
            delay_ms: 0,
        }
    }

    /// Name of the leader as last heard.
    pub fn holder(&self) -> Option<&str> {
        self.beat.as_ref().map(|beat| &*beat.holder)
    }

    /// Where the leader receives hints; empty if there is none.
    pub fn hints(&self) -> &str {
        self.beat.as_ref().map_or("", |beat| &beat.hints)
    }

    /// Takes an answer in.
    pub fn hear(&mut self, heard: &Heard<'_>) {
        let gap = heard.now.saturating_sub(self.answered) > GAP_MS + self.timing.heartbeat_interval_ms;
        self.answered = heard.now;
        let elapsed = heard.now.saturating_sub(heard.sent);
        if heard.whole || heard.rows.is_empty() {
            let waited = if heard.whole { 0 } else { heard.wait_ms };
            self.delay_ms = elapsed.saturating_sub(waited);
        } else {
            // How much of it was waiting is not known.
            self.delay_ms = self.delay_ms.max(elapsed.saturating_sub(heard.wait_ms));
        }
        if gap || self.since.is_none() {
            self.since = Some(heard.clock_ms);
        }
        for row in heard.rows {
            if *row.key == *OFFER {
                self.hear_offer(row, heard.clock_ms);
            } else if *row.key == *ONLY {
                self.hear_beat(row, heard.clock_ms);
            }
        }
    }

    fn hear_beat(&mut self, row: &Row, clock_ms: u64) {
        let Some(beat) = row.value.as_deref().and_then(|value| Heartbeat::decode(value).ok()) else {
            log::warn!("sign of life of the leader is unreadable");
            return;
        };
        if self.beat.as_ref() == Some(&beat) {
            return;
        }
        if self.reign.is_none_or(|(fence, _)| fence != beat.fence) {
            self.reign = Some((beat.fence, clock_ms));
            self.offer = None;
        }
        self.beat = Some(beat);
        self.since = Some(clock_ms);
    }

    fn hear_offer(&mut self, row: &Row, clock_ms: u64) {
        if row.version == self.version {
            return;
        }
        self.version = row.version;
        let offer = row.value.as_deref().and_then(|value| Offer::decode(value).ok());
        if offer.is_some_and(|offer| self.reign.is_some_and(|(fence, _)| fence == offer.fence)) {
            self.offer = Some(clock_ms);
        }
    }

    /// What to do at `clock_ms` of the store.
    pub fn verdict(&self, clock_ms: u64) -> Verdict {
        let Some(since) = self.since else {
            return Verdict::Follow;
        };
        let age = clock_ms.saturating_sub(since);
        let defer = self.timing.takeover_delay_ms;
        let due = |fence, wait: u64| {
            if age >= wait {
                Verdict::Take(fence)
            } else {
                Verdict::LookAgain(wait - age)
            }
        };
        let Some(beat) = &self.beat else { return due(0, defer) };
        if beat.released {
            return match &*beat.successor {
                "" => due(beat.fence, defer),
                name if *name == *self.name => Verdict::Take(beat.fence),
                _ => due(beat.fence, SUCCESSOR_MS + defer),
            };
        }
        if *beat.holder == *self.name {
            return Verdict::Resign;
        }
        if age >= self.takeover_age_ms() {
            return Verdict::Take(beat.fence);
        }
        if self.may_offer(beat, clock_ms) {
            return Verdict::Offer {
                fence: beat.fence,
                version: self.version,
            };
        }
        Verdict::Follow
    }

    /// Age of a renewal at which this instance takes the lead, in milliseconds.
    fn takeover_age_ms(&self) -> u64 {
        self.timing.heartbeat_timeout_ms + DELAY_TIMES * self.delay_ms + self.timing.takeover_delay_ms
    }

    /// How long the next call should wait for a renewal at `clock_ms` of the store, in milliseconds: it ends when this
    /// instance would take the lead, so that the larger ones, which wait less, come first.
    pub fn wait_ms(&self, clock_ms: u64) -> u64 {
        let age = self.since.map_or(0, |since| clock_ms.saturating_sub(since));
        self.takeover_age_ms()
            .saturating_sub(age)
            .clamp(WAIT_MIN_MS, self.timing.heartbeat_interval_ms)
    }

    fn may_offer(&self, beat: &Heartbeat, clock_ms: u64) -> bool {
        if !beat.strained || self.timing.millicores < beat.millicores * LARGER || self.delay_ms > PROMPT_MS {
            return false;
        }
        if self
            .offer
            .is_some_and(|at| clock_ms.saturating_sub(at) < OFFER_AGAIN_MS)
        {
            return false;
        }
        // The largest offers first.
        let (_, since) = self.reign.unwrap_or_default();
        clock_ms.saturating_sub(since) >= SETTLED_MS + DELAY_TIMES * self.timing.takeover_delay_ms
    }
}
