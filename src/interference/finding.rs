//! Effect of one kind of tasks on another.

use std::sync::Arc;

/// Least ratio of run times that counts as harm, and least ratio of their difference to its standard error.
const HARM_RATIO_MIN: f64 = 1.1;
const ERRORS_MIN: f64 = 3.0;

/// Least number of recent measurements beside the other kind, and of those without it.
const MEASUREMENTS_MIN: f64 = 8.0;

/// Measured effect of one kind of tasks on another.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Kind whose speed was measured.
    pub kind: Arc<str>,
    /// Kind that ran beside it.
    pub beside: Arc<str>,
    /// Logarithm of the ratio of the run times, beside the other kind to without it.
    pub log_ratio: f64,
    /// Standard error of that.
    pub error: f64,
    /// Decayed number of measurements on the side that has fewer.
    pub measurements: f64,
}

impl Finding {
    /// Whether the other kind does harm, beyond what chance explains.
    pub fn is_harmful(&self) -> bool {
        self.measurements >= MEASUREMENTS_MIN
            && self.log_ratio >= HARM_RATIO_MIN.ln()
            && self.log_ratio > ERRORS_MIN * self.error
    }

    /// How much longer a run takes beside the other kind, in percent.
    pub fn percent(&self) -> f64 {
        100.0 * self.log_ratio.exp_m1()
    }
}
