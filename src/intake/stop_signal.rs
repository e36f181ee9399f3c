//! Signal that the instance is to stop.

use std::cell::Cell;

use tokio::sync::Notify;

/// Signal that the instance is to stop.
#[derive(Debug, Default)]
pub struct StopSignal {
    stopping: Cell<bool>,
    notify: Notify,
}

impl StopSignal {
    /// Sets the signal and wakes all tasks that wait for it.
    pub fn trigger(&self) {
        self.stopping.set(true);
        self.notify.notify_waiters();
    }

    /// Whether the signal is set.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Waits until the signal is set.
    pub async fn stopped(&self) {
        while !self.stopping.get() {
            self.notify.notified().await;
        }
    }
}
