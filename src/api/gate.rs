//! Admission of requests, and the count of those that a stop must wait for.
//!
//! rouille gives each request a thread of its own and writes the answer on it after the handler has returned. A pass is
//! therefore kept in that thread's local storage: it ends with the thread, which is after the answer was written.

use std::cell::RefCell;
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
    /// Requests on a thread.
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

#[derive(Debug)]
struct Pass {
    gate: Arc<Gate>,
    stage: Stage,
}

thread_local! {
    static PASS: RefCell<Option<Pass>> = const { RefCell::new(None) };
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

    /// Takes in a request on the present thread, to be counted until the thread ends.
    pub(super) fn enter(self: &Arc<Self>) -> Result<(), Closed> {
        let mut counts = self.lock();
        counts.open += 1;
        let (stage, result) = if counts.open > self.open_max {
            (Stage::Refused, Err(Closed::Full))
        } else if counts.stopping {
            (Stage::Refused, Ok(()))
        } else {
            counts.unread += 1;
            (Stage::Unread, Ok(()))
        };
        drop(counts);
        let gate = Arc::clone(self);
        let before = PASS.with_borrow_mut(|pass| pass.replace(Pass { gate, stage }));
        drop(before);
        result
    }

    /// Admits the present thread's request, which has been read in full.
    pub(super) fn admit(&self) -> Result<(), Closed> {
        PASS.with_borrow_mut(|pass| {
            let mut counts = self.lock();
            if counts.stopping {
                return Err(Closed::Stopping);
            }
            if counts.admitted >= self.admitted_max {
                return Err(Closed::Full);
            }
            let Some(pass) = pass.as_mut().filter(|pass| pass.stage == Stage::Unread) else {
                return Err(Closed::Full);
            };
            pass.stage = Stage::Admitted;
            counts.unread -= 1;
            counts.admitted += 1;
            Ok(())
        })
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
