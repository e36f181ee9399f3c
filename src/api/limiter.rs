//! Limits on concurrent requests, and the count of those that a stop must wait for.

use std::collections::BTreeSet;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::time::Millis;

/// Requests that a stop did not wait for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Admitted requests that were not answered within the limit.
    pub unanswered: usize,
    /// Requests that had not arrived in full; nothing was done for them.
    pub unread: usize,
}

#[derive(Debug, Default)]
struct Counts {
    /// All requests, also rejected ones, until their response is written or they lose their place.
    in_progress: usize,
    /// Ids of the requests that are not read in full and arrived before the stop.
    unread: BTreeSet<u64>,
    /// Number of requests so far, which is the id of the last one.
    registered: u64,
    /// Requests passed to the handler and not answered yet.
    admitted: usize,
    draining: bool,
}

/// Counts requests and limits their number.
#[derive(Debug)]
pub struct RequestLimiter {
    counts: Mutex<Counts>,
    changed: Condvar,
    in_progress_max: usize,
    admitted_max: usize,
}

/// Reason why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// A limit is reached.
    Full,
    /// The server no longer accepts requests.
    Draining,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Unread,
    Admitted,
    Rejected,
    /// Its place was given to others.
    Released,
}

/// Keeps a request counted until dropped, which is after the response was written.
#[derive(Debug)]
pub(super) struct Permit {
    limiter: Arc<RequestLimiter>,
    id: u64,
    stage: Stage,
}

impl RequestLimiter {
    /// Creates a limiter with these limits.
    pub fn new(in_progress_max: usize, admitted_max: usize) -> Self {
        Self {
            counts: Mutex::default(),
            changed: Condvar::new(),
            in_progress_max,
            admitted_max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        // The counts are plain numbers, which a panic cannot leave half updated.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request, also one that is rejected.
    pub(super) fn register(self: &Arc<Self>) -> (Permit, Result<(), Rejection>) {
        let mut counts = self.lock();
        counts.in_progress += 1;
        counts.registered += 1;
        let id = counts.registered;
        let (stage, result) = if counts.in_progress > self.in_progress_max {
            (Stage::Rejected, Err(Rejection::Full))
        } else if counts.draining {
            (Stage::Rejected, Err(Rejection::Draining))
        } else {
            counts.unread.insert(id);
            (Stage::Unread, Ok(()))
        };
        drop(counts);
        let limiter = Arc::clone(self);
        (Permit { limiter, id, stage }, result)
    }

    /// Gives the place of a request that is not read in full to others. It will not be admitted.
    pub(super) fn release(&self, id: u64) {
        let mut counts = self.lock();
        if counts.unread.remove(&id) {
            counts.in_progress -= 1;
            self.changed.notify_all();
        }
    }

    /// Whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Number of requests passed to the handler and not answered yet.
    pub fn in_flight(&self) -> usize {
        self.lock().admitted
    }

    /// Rejects new requests from now on.
    pub fn start_draining(&self) {
        self.lock().draining = true;
    }

    /// Waits until all requests are answered: at most `limit` for admitted ones, and at most `unread_limit` for those
    /// not read in full.
    pub(super) fn wait_idle(&self, limit: Millis, unread_limit: Millis) -> Drained {
        let start = Instant::now();
        let mut counts = self.lock();
        loop {
            let waited = start.elapsed();
            let is_idle = counts.admitted == 0 && (counts.unread.is_empty() || waited >= unread_limit.duration());
            if is_idle || waited >= limit.duration() {
                return Drained {
                    unanswered: counts.admitted,
                    unread: counts.unread.len(),
                };
            }
            let poll_interval = limit.duration().saturating_sub(waited).min(Duration::from_millis(100));
            (counts, _) = self
                .changed
                .wait_timeout(counts, poll_interval)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl Permit {
    /// Id of the request.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Gives the place of a request that will not be admitted to others.
    pub fn release(&mut self) {
        let mut counts = self.limiter.lock();
        let has_place = match self.stage {
            Stage::Unread => counts.unread.remove(&self.id),
            Stage::Rejected => true,
            Stage::Admitted | Stage::Released => false,
        };
        if has_place {
            counts.in_progress -= 1;
            self.limiter.changed.notify_all();
        }
        self.stage = Stage::Released;
    }

    /// Whether the request was passed to the handler.
    pub fn is_admitted(&self) -> bool {
        self.stage == Stage::Admitted
    }

    /// Admits a request that has been read in full.
    pub fn admit(&mut self) -> Result<(), Rejection> {
        let mut counts = self.limiter.lock();
        if counts.draining {
            return Err(Rejection::Draining);
        }
        if counts.admitted >= self.limiter.admitted_max {
            return Err(Rejection::Full);
        }
        if !counts.unread.remove(&self.id) {
            return Err(Rejection::Full);
        }
        counts.admitted += 1;
        self.stage = Stage::Admitted;
        Ok(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.stage != Stage::Admitted {
            self.release();
            return;
        }
        let mut counts = self.limiter.lock();
        counts.in_progress -= 1;
        counts.admitted -= 1;
        self.limiter.changed.notify_all();
    }
}
