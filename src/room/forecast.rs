//! Usual peak of the endpoints that a class needs.

use super::Usage;

/// Time in which a former demand loses most of its weight, in milliseconds. Demand that comes in waves of some seconds is
/// remembered from one wave to the next.
const MEMORY_MS: f64 = 10_000.0;

/// Distance of the usual peak from the mean, in standard deviations; higher peaks find their room by preemption.
const PEAK_DEVIATIONS: f64 = 1.0;

/// Largest part of a pool that is kept empty for one class: what lower classes lose at most if the demand does not return.
const KEPT_SHARE_MAX: f64 = 0.125;

/// Peak below which a class that needs nothing is forgotten, in endpoints.
const FORGOTTEN_BELOW: f64 = 0.5;

/// Endpoints that a class has needed lately, with exponentially decaying weights.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Forecast {
    mean: f64,
    variance: f64,
    /// Endpoints in use at the last observation.
    used: f64,
    /// Time of the last observation, in milliseconds; `None` before the first.
    observed_at: Option<u64>,
}

impl Forecast {
    /// Notes what the class needs at `now`.
    pub fn observe(&mut self, usage: Usage, now: u64) {
        let weight = self.observed_at.map_or(1.0, |observed_at| {
            let elapsed_ms = now.saturating_sub(observed_at) as f64;
            -(-elapsed_ms / MEMORY_MS).exp_m1()
        });
        let difference = usage.used + usage.awaited - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
        self.used = usage.used;
        self.observed_at = Some(now);
    }

    /// Endpoints that the class used at the last observation.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Endpoints that the class needs at its usual peaks.
    pub fn peak(&self) -> f64 {
        self.mean + PEAK_DEVIATIONS * self.variance.sqrt()
    }

    /// Number of endpoints, of a pool of `pool_size`, to keep empty for the class.
    pub fn kept_empty(&self, pool_size: usize) -> u32 {
        let most = pool_size as f64 * KEPT_SHARE_MAX;
        (self.peak() - self.used).clamp(0.0, most) as u32
    }

    /// Whether the class has needed next to nothing for so long that it can be forgotten.
    pub fn is_negligible(&self) -> bool {
        self.used <= 0.0 && self.peak() < FORGOTTEN_BELOW
    }
}
