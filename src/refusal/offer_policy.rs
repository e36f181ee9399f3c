//! When a submission is offered to another instance.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::{Fate, Reach};

/// Time in which an instance that has lost the store goes on by itself. The store answers within 250 ms when it is sixty
/// times slower than usual.
const OWN_TIME: Duration = Duration::from_millis(250);

/// Least time left for an offer: the margin of the other instance's answer, and three round trips between regions.
const TIME_LEFT_MIN: Duration = Duration::from_millis(250);

/// Most time for which an offer is waited for. A caller that is refused then can still come back.
const OFFER_TIME_MAX: Duration = Duration::from_secs(1);

/// Time without offers after one that did not help. A failed offer keeps its caller waiting; while all instances have
/// lost the store, only the first caller of each pause pays for it.
const PAUSE_MS: u64 = 1_000;

/// Most offers of one instance at a time.
const OFFERS_MAX: usize = 8;

/// State of a submission that has no answer yet, or was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// How well this instance reaches the store.
    pub reach: Reach,
    /// What became of the submission here; `None` while it is under way.
    pub own: Option<Fate>,
    /// Time since the submission arrived.
    pub waited: Duration,
    /// Time until it has to be answered.
    pub left: Duration,
}

/// An offer to be made.
#[derive(Debug)]
pub struct Offer {
    /// Time for the answer.
    pub time: Duration,
    /// Held while the offer is under way.
    pub permit: OwnedSemaphorePermit,
}

/// Decides when a submission is offered to another instance, and bounds the offers.
#[derive(Debug)]
pub struct OfferPolicy {
    permits: Arc<Semaphore>,
    paused_until: Cell<u64>,
}

impl Default for OfferPolicy {
    fn default() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(OFFERS_MAX)),
            paused_until: Cell::default(),
        }
    }
}

impl OfferPolicy {
    /// Offer to be made at `now`, in milliseconds of the steady clock.
    pub fn decide(&self, attempt: &Attempt, now: u64) -> Option<Offer> {
        if attempt.reach == Reach::Good || attempt.left < TIME_LEFT_MIN || now < self.paused_until.get() {
            return None;
        }
        let due = match attempt.own {
            None => attempt.waited >= OWN_TIME,
            Some(fate) => fate == Fate::NotRun,
        };
        if !due {
            return None;
        }
        Some(Offer {
            time: attempt.left.min(OFFER_TIME_MAX),
            permit: Arc::clone(&self.permits).try_acquire_owned().ok()?,
        })
    }

    /// Records at `now` what became of an offer.
    pub fn observe(&self, fate: Fate, now: u64) {
        if matches!(fate, Fate::NotRun | Fate::Unknown) {
            self.paused_until.set(now + PAUSE_MS);
        }
    }
}
