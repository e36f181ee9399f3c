//! Speeds of endpoints, learned from the progress of runs.
//!
//! A run tells `estimate / duration`, which is the speed of its endpoint times the error of the caller's estimate. The
//! error is common to the tasks of a step, so comparing the tasks of one step on several endpoints separates the two.
//! Both are kept as logarithms, and only ratios of speeds mean anything.

use std::sync::Arc;

/// Least weight of a measurement, so that a speed that changes is followed.
const WEIGHT_MIN: f64 = 0.25;

/// Measurements that a speed of which nothing is known counts as.
const PRIOR: f64 = 0.5;

/// Weight of a measurement that can't be compared with another of its step, relative to one that can. Estimates are wrong
/// by a factor of about 2.5 (the users' sheets), far more than tasks of one step differ.
const ALONE: f64 = 0.1;

/// Learned speed of one endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Logarithm of the speed.
    pub log: f64,
    /// Measurements, by weight.
    pub seen: f64,
}

impl Pace {
    /// Logarithm of the speed, drawn towards that of a typical endpoint while little is known.
    pub fn estimate(&self, typical: f64) -> f64 {
        (self.log * self.seen + typical * PRIOR) / (self.seen + PRIOR)
    }

    /// Takes in that the speed was found to be `log`, with a weight.
    pub fn learn(&mut self, log: f64, weight: f64, typical: f64) {
        if self.seen <= 0.0 {
            self.log = typical;
        }
        let gain = weight * (1.0 / (self.seen + PRIOR + 1.0)).max(WEIGHT_MIN);
        self.log += gain * (log - self.log);
        self.seen += weight;
    }
}

/// Logarithm of the speed of a typical endpoint: the median of those that are known.
pub(super) fn typical<'p, I>(paces: I) -> f64
where
    I: Iterator<Item = &'p Pace>,
{
    let mut logs: Vec<f64> = paces.filter(|pace| pace.seen >= 1.0).map(|pace| pace.log).collect();
    if logs.is_empty() {
        return 0.0;
    }
    logs.sort_by(f64::total_cmp);
    logs[logs.len() / 2]
}

/// Latest measurement on each endpoint of a step.
#[derive(Debug, Default, Clone)]
pub struct StepPace {
    found: Vec<(Arc<str>, f64)>,
}

impl StepPace {
    /// Whether nothing was measured yet.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Error of the caller's estimate as told by the other endpoints, if there are any.
    fn error<F>(&self, endpoint: &Arc<str>, pace: &F) -> Option<f64>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (other, log) in &self.found {
            if other == endpoint {
                continue;
            }
            sum += log - pace(other);
            count += 1.0;
        }
        (count > 0.0).then_some(sum / count)
    }

    /// Factor from the caller's estimate to the duration at speed 1, as far as it is known.
    pub fn factor<F>(&self, pace: F) -> f64
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let sum: f64 = self.found.iter().map(|(endpoint, log)| pace(endpoint) - log).sum();
        // One more measurement that says that the estimate is right.
        (sum / (self.found.len() as f64 + 1.0)).exp()
    }

    /// Takes in a measurement: `log` is the logarithm of estimate over duration. Returns what to learn, by endpoint.
    pub fn take<F>(&mut self, endpoint: &Arc<str>, log: f64, pace: F) -> Vec<(Arc<str>, f64, f64)>
    where
        F: Fn(&Arc<str>) -> f64,
    {
        let mut lessons = Vec::new();
        match self.error(endpoint, &pace) {
            Some(error) => {
                // The first measurement of the step had nothing to be compared with.
                if let [(first, found)] = &self.found[..] {
                    let found = *found - (log - pace(endpoint));
                    lessons.push((Arc::clone(first), found, 0.5));
                }
                lessons.push((Arc::clone(endpoint), log - error, 1.0));
            }
            None => lessons.push((Arc::clone(endpoint), log, ALONE)),
        }
        self.found.retain(|(other, _)| other != endpoint);
        self.found.push((Arc::clone(endpoint), log));
        lessons
    }
}
