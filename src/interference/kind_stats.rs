//! Measurements of one kind of tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Moments;

/// Largest logarithm of a relative speed, and largest number of measurements, that are plausible.
const LOG_SPEED_MAX: f64 = 10.0;
const WEIGHT_MAX: f64 = 1e9;

/// Measurements of one kind of tasks.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct KindStats {
    /// All measurements.
    pub total: Moments,
    /// Those beside each other kind.
    pub beside: BTreeMap<Arc<str>, Moments>,
}

impl KindStats {
    /// Whether measurements can have given it. A sum that is not a number would stay so.
    pub fn is_plausible(&self) -> bool {
        let total = self.total.weight;
        std::iter::once(&self.total).chain(self.beside.values()).all(|moments| {
            is_plausible_speed(moments.mean)
                && (0.0..=WEIGHT_MAX).contains(&moments.weight)
                && moments.weight <= total * (1.0 + 1e-6)
                && moments.squares >= 0.0
                && moments.squares <= moments.weight * 4.0 * LOG_SPEED_MAX * LOG_SPEED_MAX
        })
    }
}

/// Whether a measurement can have this value.
pub(super) fn is_plausible_speed(log_speed: f64) -> bool {
    log_speed.abs() <= LOG_SPEED_MAX
}
