//! Expected work of tasks, learned per queue.
//!
//! Callers' estimates are off by a factor in either direction, and what earlier tasks of the queue took often predicts
//! better. The two predictions are combined, weighted by the inverse of the variance that each has shown for the queue.
//! All calculations use logarithms.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Prior variance of both predictions, about that of a factor of two.
const PRIOR_VARIANCE: f64 = 0.5;

/// Weight of the prior variance, in measurements.
const PRIOR_COUNT: f64 = 2.0;

/// Least variance, so that a few equal measurements do not count as certainty.
const VARIANCE_MIN: f64 = 0.02;

/// Sums over the measured tasks of one queue.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct WorkStats {
    /// Number of measurements.
    pub count: f64,
    /// Sum of the logarithms of the work, in milliseconds on a typical endpoint.
    pub sum: f64,
    /// Sum of their squares.
    pub squares: f64,
    /// Sum of the squared errors of the callers' estimates, as logarithms.
    pub errors: f64,
}

/// Measured work of tasks, by queue.
#[derive(Debug, Default, Clone)]
pub struct WorkEstimates {
    queues: BTreeMap<Arc<str>, WorkStats>,
}

impl WorkEstimates {
    /// Adds a measured task; `log_work` and `log_estimate` are the logarithms of its work and of the caller's estimate.
    pub fn learn(&mut self, queue: &str, log_work: f64, log_estimate: f64) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(Arc::from(queue), WorkStats::default());
        }
        let Some(work) = self.queues.get_mut(queue) else { return };
        work.count += 1.0;
        work.sum += log_work;
        work.squares += log_work * log_work;
        work.errors += (log_work - log_estimate) * (log_work - log_estimate);
    }

    /// Expected work of a task, in milliseconds on a typical endpoint.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> f64 {
        let log_estimate = (estimate_ms.max(1) as f64).ln();
        let Some(work) = self.queues.get(queue).filter(|work| work.count > 0.0) else {
            return estimate_ms as f64;
        };
        let mean = work.sum / work.count;
        let spread = (work.squares - mean * work.sum).max(0.0);
        let variance = |sum: f64| ((sum + PRIOR_VARIANCE * PRIOR_COUNT) / (work.count + PRIOR_COUNT)).max(VARIANCE_MIN);
        let queue_weight = 1.0 / (variance(spread) + PRIOR_VARIANCE / work.count);
        let caller_weight = 1.0 / variance(work.errors);
        ((queue_weight * mean + caller_weight * log_estimate) / (queue_weight + caller_weight)).exp()
    }

    /// Sums of all queues.
    pub fn all(&self) -> &BTreeMap<Arc<str>, WorkStats> {
        &self.queues
    }

    /// Restores the stored sums of a queue.
    pub fn restore(&mut self, queue: &str, work: WorkStats) {
        self.queues.insert(Arc::from(queue), work);
    }
}
