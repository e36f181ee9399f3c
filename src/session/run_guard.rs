//! One thread at a time, without waiting.

use std::sync::atomic::{AtomicBool, Ordering};

/// The turn of one thread; ends when it is dropped, also by a panic.
#[derive(Debug)]
pub(crate) struct RunGuard<'a>(&'a AtomicBool);

impl<'a> RunGuard<'a> {
    /// `None` if another thread has the turn.
    pub fn try_acquire(running: &'a AtomicBool) -> Option<Self> {
        let acquired = running.compare_exchange(false, true, Ordering::Acquire, Ordering::Relaxed);
        acquired.ok().map(|_| Self(running))
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}
