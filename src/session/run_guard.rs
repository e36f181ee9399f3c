//! One thread at a time, without waiting.

use std::sync::atomic::{AtomicBool, Ordering};

/// The turn of one thread; ends when it is dropped, also by a panic.
#[derive(Debug)]
pub(crate) struct Turn<'a>(&'a AtomicBool);

impl<'a> Turn<'a> {
    /// `None` if another thread has the turn.
    pub fn take(taken: &'a AtomicBool) -> Option<Self> {
        let free = taken.compare_exchange(false, true, Ordering::Acquire, Ordering::Relaxed);
        free.ok().map(|_| Self(taken))
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}
