//! Limit on the requests that are handled at once, and their count for a stop.

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
    /// Requests passed to the handler and not answered yet.
    admitted: usize,
    draining: bool,
}

/// Counts the requests that are handled and limits their number.
#[derive(Debug)]
pub struct RequestLimiter {
    counts: Mutex<Counts>,
    changed: Condvar,
    admitted_max: usize,
}

/// Reason why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The limit is reached.
    Full,
    /// The server no longer accepts requests.
    Draining,
}

/// Keeps a request counted until dropped, which is when its response is ready.
#[derive(Debug)]
pub(super) struct Permit {
    limiter: Arc<RequestLimiter>,
}

impl RequestLimiter {
    /// Creates a limiter for this number of requests.
    pub fn new(admitted_max: usize) -> Self {
        Self {
            counts: Mutex::default(),
            changed: Condvar::new(),
            admitted_max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        // The counts are plain numbers, which a panic cannot leave half updated.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request that has been read in full.
    pub(super) fn admit(self: &Arc<Self>) -> Result<Permit, Rejection> {
        let mut counts = self.lock();
        if counts.draining {
            return Err(Rejection::Draining);
        }
        if counts.admitted >= self.admitted_max {
            return Err(Rejection::Full);
        }
        counts.admitted += 1;
        let limiter = Arc::clone(self);
        Ok(Permit { limiter })
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

    /// Waits at most `limit` until all admitted requests are answered. Returns the number of those that are not.
    pub(super) fn wait_idle(&self, limit: Millis) -> usize {
        let start = Instant::now();
        let mut counts = self.lock();
        loop {
            let left = limit.duration().saturating_sub(start.elapsed());
            if counts.admitted == 0 || left.is_zero() {
                return counts.admitted;
            }
            let poll_interval = left.min(Duration::from_millis(100));
            (counts, _) = self
                .changed
                .wait_timeout(counts, poll_interval)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.lock().admitted -= 1;
        self.limiter.changed.notify_all();
    }
}
