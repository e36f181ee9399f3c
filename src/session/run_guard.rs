//! Guard that lets only one thread at a time run a task, without blocking the others.

use std::sync::atomic::{AtomicBool, Ordering};

/// Exclusive right to run a task; released on drop, also after a panic.
#[derive(Debug)]
pub(crate) struct RunGuard<'a>(&'a AtomicBool);

impl<'a> RunGuard<'a> {
    /// Acquires the guard; `None` if another thread holds it.
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
