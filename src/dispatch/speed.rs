//! Speeds of endpoints, learned from the progress of runs.
//!
//! A run tells `estimate / duration`, which is the speed of its endpoint times the error of the caller's estimate. The
//! error is common to the tasks of a step, so comparing the tasks of one step on several endpoints separates the two.
//! Both are kept as logarithms, and only ratios of speeds mean anything.

use std::sync::Arc;

/// Least weight of a measurement, so that a speed that changes is followed.
const GAIN_MIN: f64 = 0.25;

/// Measurements that a speed of which nothing is known counts as.
const PRIOR_WEIGHT: f64 = 0.5;

/// Weight of a measurement that can't be compared with another of its step, relative to one that can. Estimates are wrong
/// by a factor of about 2.5 (the users' sheets), far more than tasks of one step differ.
const UNPAIRED_WEIGHT: f64 = 0.1;

/// Learned speed of one endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Logarithm of the speed.
    pub log_speed: f64,
    /// Measurements, by weight.
    pub weight: f64,
}

impl SpeedEstimate {
    /// Logarithm of the speed, drawn towards that of a typical endpoint while little is known.
    pub fn smoothed(&self, typical_log_speed: f64) -> f64 {
        (self.log_speed * self.weight + typical_log_speed * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }

    /// Takes in that the speed was found to be `log`, with a weight.
    pub fn learn(&mut self, log_speed: f64, weight: f64, typical_log_speed: f64) {
        if self.weight <= 0.0 {
            self.log_speed = typical_log_speed;
        }
        let gain = weight * (1.0 / (self.weight + PRIOR_WEIGHT + 1.0)).max(GAIN_MIN);
        self.log_speed += gain * (log_speed - self.log_speed);
        self.weight += weight;
    }
}

/// Logarithm of the speed of a typical endpoint: the median of those that are known.
pub(super) fn typical_log_speed<'p, I>(speeds: I) -> f64
where
    I: Iterator<Item = &'p SpeedEstimate>,
{
    let mut logs: Vec<f64> = speeds
        .filter(|speed| speed.weight >= 1.0)
        .map(|speed| speed.log_speed)
        .collect();
    if logs.is_empty() {
        return 0.0;
    }
    logs.sort_by(f64::total_cmp);
    logs[logs.len() / 2]
}

/// Latest measurement on each endpoint of a step.
#[derive(Debug, Default, Clone)]
pub struct StepSpeeds {
    measurements: Vec<(Arc<str>, f64)>,
}

impl StepSpeeds {
    /// Whether nothing was measured yet.
    pub fn is_empty(&self) -> bool {
        self.measurements.is_empty()
    }

    /// Error of the caller's estimate as told by the other endpoints, if there are any.
    fn estimate_error<F>(&self, endpoint: &Arc<str>, log_speed: &F) -> Option<f64>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (other, log_ratio) in &self.measurements {
            if other == endpoint {
                continue;
            }
            sum += log_ratio - log_speed(other);
            count += 1.0;
        }
        (count > 0.0).then_some(sum / count)
    }

    /// Factor from the caller's estimate to the duration at speed 1, as far as it is known.
    pub fn factor<F>(&self, log_speed: F) -> f64
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let sum: f64 = self
            .measurements
            .iter()
            .map(|(endpoint, log_ratio)| log_speed(endpoint) - log_ratio)
            .sum();
        // One more measurement that says that the estimate is right.
        (sum / (self.measurements.len() as f64 + 1.0)).exp()
    }

    /// Takes in a measurement: `log` is the logarithm of estimate over duration. Returns what to learn, by endpoint.
    pub fn add<F>(&mut self, endpoint: &Arc<str>, log_ratio: f64, log_speed: F) -> Vec<(Arc<str>, f64, f64)>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let mut updates = Vec::new();
        match self.estimate_error(endpoint, &log_speed) {
            Some(error) => {
                // The first measurement of the step had nothing to be compared with.
                if let [(first, ratio)] = &self.measurements[..] {
                    let first_log_speed = *ratio - (log_ratio - log_speed(endpoint));
                    updates.push((Arc::clone(first), first_log_speed, 0.5));
                }
                updates.push((Arc::clone(endpoint), log_ratio - error, 1.0));
            }
            None => updates.push((Arc::clone(endpoint), log_ratio, UNPAIRED_WEIGHT)),
        }
        self.measurements.retain(|(other, _)| other != endpoint);
        self.measurements.push((Arc::clone(endpoint), log_ratio));
        updates
    }
}
