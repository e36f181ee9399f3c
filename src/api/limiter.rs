//! Admission of requests, and the count of those that a stop must wait for.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::time::Millis;

/// How a stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Requests in flight that were not answered within the limit.
    pub unanswered: usize,
    /// Requests that had not arrived in full, so that nothing was done for them.
    pub unread: usize,
}

#[derive(Debug, Default)]
struct Counts {
    /// Requests under way.
    open: usize,
    /// Of these, the ones not read in full that had begun before the stop.
    unread: usize,
    /// Of these, the ones handed to the handler.
    admitted: usize,
    stopping: bool,
}

/// Counts requests and bounds them.
#[derive(Debug)]
pub struct Gate {
    counts: Mutex<Counts>,
    changed: Condvar,
    open_max: usize,
    admitted_max: usize,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Closed {
    /// A bound is reached.
    Full,
    /// The server is stopping.
    Stopping,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Unread,
    Admitted,
    Refused,
}

/// A request that is counted until its pass is dropped, which is after its answer was written.
#[derive(Debug)]
pub(super) struct Pass {
    gate: Arc<Gate>,
    stage: Stage,
}

impl Gate {
    /// A gate with these bounds.
    pub fn new(open_max: usize, admitted_max: usize) -> Self {
        Self {
            counts: Mutex::default(),
            changed: Condvar::new(),
            open_max,
            admitted_max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        // The counts are plain numbers that no panic can leave half changed.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request, whether it is refused or not.
    pub(super) fn enter(self: &Arc<Self>) -> (Pass, Result<(), Closed>) {
        let mut counts = self.lock();
        counts.open += 1;
        let (stage, result) = if counts.open > self.open_max {
            (Stage::Refused, Err(Closed::Full))
        } else if counts.stopping {
            (Stage::Refused, Err(Closed::Stopping))
        } else {
            counts.unread += 1;
            (Stage::Unread, Ok(()))
        };
        drop(counts);
        let gate = Arc::clone(self);
        (Pass { gate, stage }, result)
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Requests that a handler works on now.
    pub fn in_flight(&self) -> usize {
        self.lock().admitted
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.lock().stopping = true;
    }

    /// Waits until admitted requests are answered, at most `limit`; for requests that are not read, at most `unread`.
    pub(super) fn wait(&self, limit: Millis, unread: Millis) -> Drained {
        let start = Instant::now();
        let mut counts = self.lock();
        loop {
            let passed = start.elapsed();
            let is_idle = counts.admitted == 0 && (counts.unread == 0 || passed >= unread.duration());
            if is_idle || passed >= limit.duration() {
                return Drained {
                    unanswered: counts.admitted,
                    unread: counts.unread,
                };
            }
            let left = limit.duration().saturating_sub(passed).min(Duration::from_millis(100));
            (counts, _) = self
                .changed
                .wait_timeout(counts, left)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl Pass {
    /// Admits a request that has been read in full.
    pub fn admit(&mut self) -> Result<(), Closed> {
        let mut counts = self.gate.lock();
        if counts.stopping {
            return Err(Closed::Stopping);
        }
        if counts.admitted >= self.gate.admitted_max {
            return Err(Closed::Full);
        }
        counts.unread -= 1;
        counts.admitted += 1;
        self.stage = Stage::Admitted;
        Ok(())
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut counts = self.gate.lock();
        counts.open -= 1;
        match self.stage {
            Stage::Unread => counts.unread -= 1,
            Stage::Admitted => counts.admitted -= 1,
            Stage::Refused => {}
        }
        self.gate.changed.notify_all();
    }
}
