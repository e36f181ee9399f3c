//! Speeds of endpoints, learned from the progress of runs.
//!
//! A run measures `estimate / duration`, the product of the speed of its endpoint and the error of the caller's
//! estimate. The tasks of a step share that error, so comparing tasks of one step on several endpoints separates the
//! two factors. Both are kept as logarithms, and only ratios of speeds are meaningful.

use std::sync::Arc;

/// Least gain of a measurement of weight 1, so that the estimate follows a speed that changes.
const GAIN_MIN: f64 = 0.25;

/// Weight of the prior, the speed of a typical endpoint, in measurements.
const PRIOR_WEIGHT: f64 = 0.5;

/// Weight of a measurement that cannot be compared with another of its step, relative to one that can. Callers'
/// estimates are off by a factor of about 2.5 (the users' data sheets), far more than tasks of one step differ.
const UNPAIRED_WEIGHT: f64 = 0.1;

/// Learned speed of one endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Logarithm of the speed.
    pub log_speed: f64,
    /// Total weight of the measurements.
    pub total_weight: f64,
}

impl SpeedEstimate {
    /// Logarithm of the speed, weighted with that of a typical endpoint as the prior.
    pub fn smoothed(&self, typical_log_speed: f64) -> f64 {
        (self.log_speed * self.total_weight + typical_log_speed * PRIOR_WEIGHT) / (self.total_weight + PRIOR_WEIGHT)
    }

    /// Updates the estimate by a measurement `log_speed` of the given weight.
    pub fn learn(&mut self, log_speed: f64, weight: f64, typical_log_speed: f64) {
        if self.total_weight <= 0.0 {
            self.log_speed = typical_log_speed;
        }
        let gain = weight * (1.0 / (self.total_weight + PRIOR_WEIGHT + 1.0)).max(GAIN_MIN);
        self.log_speed += gain * (log_speed - self.log_speed);
        self.total_weight += weight;
    }
}

/// Logarithm of the speed of a typical endpoint: the median of those with a total weight of 1 or more.
pub(super) fn typical_log_speed<'p, I>(speeds: I) -> f64
where
    I: Iterator<Item = &'p SpeedEstimate>,
{
    let mut logs: Vec<f64> = speeds
        .filter(|speed| speed.total_weight >= 1.0)
        .map(|speed| speed.log_speed)
        .collect();
    if logs.is_empty() {
        return 0.0;
    }
    logs.sort_by(f64::total_cmp);
    logs[logs.len() / 2]
}

/// Latest measurement of a step on each endpoint, as the logarithm of estimate over duration.
#[derive(Debug, Default, Clone)]
pub struct StepSpeeds {
    measurements: Vec<(Arc<str>, f64)>,
}

impl StepSpeeds {
    /// Whether nothing has been measured yet.
    pub fn is_empty(&self) -> bool {
        self.measurements.is_empty()
    }

    /// Logarithm of the error of the caller's estimate, averaged over the other endpoints; `None` if there are none.
    fn estimate_error<F>(&self, endpoint: &Arc<str>, log_speed_of: &F) -> Option<f64>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (other, log_ratio) in &self.measurements {
            if other == endpoint {
                continue;
            }
            sum += log_ratio - log_speed_of(other);
            count += 1.0;
        }
        (count > 0.0).then_some(sum / count)
    }

    /// Factor from the caller's estimate to the duration at speed 1, as far as it is known.
    pub fn factor<F>(&self, log_speed_of: F) -> f64
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let sum: f64 = self
            .measurements
            .iter()
            .map(|(endpoint, log_ratio)| log_speed_of(endpoint) - log_ratio)
            .sum();
        // The prior counts as one measurement that confirms the estimate.
        (sum / (self.measurements.len() as f64 + 1.0)).exp()
    }

    /// Logarithm of the speed that a measurement gives for an endpoint; `None` if no other endpoint of the step has been
    /// measured, so that the error of the caller's estimate is not known.
    pub fn compared<F>(&self, endpoint: &Arc<str>, log_ratio: f64, log_speed_of: F) -> Option<f64>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        Some(log_ratio - self.estimate_error(endpoint, &log_speed_of)?)
    }

    /// Adds a measurement, where `log_ratio` is the logarithm of estimate over duration. Returns the endpoints whose
    /// speed estimates change, each with its measured `log_speed` and weight.
    pub fn add<F>(&mut self, endpoint: &Arc<str>, log_ratio: f64, log_speed_of: F) -> Vec<(Arc<str>, f64, f64)>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let mut updates = Vec::new();
        match self.estimate_error(endpoint, &log_speed_of) {
            Some(error) => {
                // The first measurement of the step had nothing to compare with until now.
                if let [(first, ratio)] = &self.measurements[..] {
                    let first_log_speed = *ratio - (log_ratio - log_speed_of(endpoint));
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
