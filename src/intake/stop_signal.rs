//! Whether the instance is to stop.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether the instance is to stop.
#[derive(Debug, Default)]
pub struct StopSignal {
    stopping: Cell<bool>,
    told: Notify,
}

impl StopSignal {
    /// Tells everyone to stop.
    pub fn trigger(&self) {
        self.stopping.set(true);
        self.told.notify_waiters();
    }

    /// Whether the instance is to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns once the instance is to stop.
    pub async fn stopped(&self) {
        while !self.stopping.get() {
            self.told.notified().await;
        }
    }
}
