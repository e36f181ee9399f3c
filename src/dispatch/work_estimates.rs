//! How much work the tasks of a queue are, learned from what ran.
//!
//! Callers' estimates are wrong by a factor, in either direction. What tasks of the same queue took before is often the
//! better guide. Both are combined, each by how far it has been off for this queue; all figures are logarithms.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Variance that both guides are believed to have before anything is measured; that of a factor of two.
const PRIOR_VARIANCE: f64 = 0.5;

/// Measurements that the prior counts as.
const PRIOR_COUNT: f64 = 2.0;

/// Least variance, so that a few equal measurements are not taken for certainty.
const VARIANCE_MIN: f64 = 0.02;

/// Sums over the measurements of one queue.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct WorkStats {
    /// Number of measurements.
    pub count: f64,
    /// Sum of the logarithms of the work, in milliseconds on a typical endpoint.
    pub sum: f64,
    /// Sum of their squares.
    pub squares: f64,
    /// Sum of the squares of how far the estimates were off.
    pub errors: f64,
}

/// Work of tasks by queue.
#[derive(Debug, Default, Clone)]
pub struct WorkEstimates {
    queues: BTreeMap<Arc<str>, WorkStats>,
}

impl WorkEstimates {
    /// Takes in that a task took `log`, where the caller had estimated `estimate`.
    pub fn learn(&mut self, queue: &str, log: f64, estimate: f64) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(Arc::from(queue), WorkStats::default());
        }
        let Some(work) = self.queues.get_mut(queue) else { return };
        work.count += 1.0;
        work.sum += log;
        work.squares += log * log;
        work.errors += (log - estimate) * (log - estimate);
    }

    /// Expected work of a task, in milliseconds on a typical endpoint.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> f64 {
        let estimate = (estimate_ms.max(1) as f64).ln();
        let Some(work) = self.queues.get(queue).filter(|work| work.count > 0.0) else {
            return estimate_ms as f64;
        };
        let mean = work.sum / work.count;
        let spread = (work.squares - mean * work.sum).max(0.0);
        let variance = |sum: f64| ((sum + PRIOR_VARIANCE * PRIOR_COUNT) / (work.count + PRIOR_COUNT)).max(VARIANCE_MIN);
        let by_queue = 1.0 / (variance(spread) + PRIOR_VARIANCE / work.count);
        let by_caller = 1.0 / variance(work.errors);
        ((by_queue * mean + by_caller * estimate) / (by_queue + by_caller)).exp()
    }

    /// All sums, to store.
    pub fn all(&self) -> &BTreeMap<Arc<str>, WorkStats> {
        &self.queues
    }

    /// Takes over stored sums.
    pub fn restore(&mut self, queue: &str, work: WorkStats) {
        self.queues.insert(Arc::from(queue), work);
    }
}
