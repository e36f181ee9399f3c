//! Costs of stops.

use super::RunningUnit;

/// Computes what stops cost on a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCosts {
    /// Time in which a run with checkpoints resumes, in milliseconds.
    pub restore_ms: u64,
}

impl StopCosts {
    /// Work that callers lose by a stop, in core-seconds; once more for each earlier stop.
    pub fn of(&self, unit: &RunningUnit) -> f64 {
        let lost_ms = if unit.checkpoints {
            self.restore_ms
        } else {
            unit.worked_ms
        };
        lost_ms as f64 / 1_000.0 * unit.cores * (1.0 + f64::from(unit.stops))
    }
}
