//! How long gangs that were stopped wait for their next start.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the latest wait in the moving average of its queue.
const LATEST_WEIGHT: f64 = 0.3;

/// Longest wait that counts, in milliseconds; a few stuck gangs must not make all others untouchable.
const WAIT_MAX_MS: u64 = 10_000;

/// Moving averages of waits by queue, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct RestartWaits {
    queues: BTreeMap<Arc<str>, f64>,
}

impl RestartWaits {
    /// Adds the wait of a gang from its stop to its next start.
    pub fn add(&mut self, queue: &str, wait_ms: u64) {
        let wait = wait_ms.min(WAIT_MAX_MS) as f64;
        match self.queues.get_mut(queue) {
            Some(mean) => *mean += LATEST_WEIGHT * (wait - *mean),
            None => drop(self.queues.insert(Arc::from(queue), wait)),
        }
    }

    /// Expected wait of a gang of a queue, in milliseconds; 0 if none was stopped yet.
    pub fn expected_ms(&self, queue: &str) -> u64 {
        self.queues.get(queue).map_or(0, |mean| *mean as u64)
    }

    /// Forgets the queues for which `keeps` returns false.
    pub fn retain<F>(&mut self, keeps: F)
    where
        F: Fn(&str) -> bool,
    {
        self.queues.retain(|queue, _| keeps(queue));
    }
}
