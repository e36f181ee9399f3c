//! Detects that the leader is short of processor time.

/// Time between two samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 100;

/// Weight of the newest sample in the moving average, which follows a change within about two seconds.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean timer delay from which the leader counts as overloaded, in milliseconds. An urgent start takes about ten turns
/// of the event loop, which at this delay use half a second of the 2.6 s it has.
const OVERLOAD_THRESHOLD_MS: f64 = 50.0;

/// Moving average of the delay of a timer.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct OverloadDetector {
    mean_delay_ms: f64,
}

impl OverloadDetector {
    /// Adds a sample: how late a timer fired.
    pub fn add_sample(&mut self, delay_ms: u64) {
        self.mean_delay_ms += SAMPLE_WEIGHT * (delay_ms as f64 - self.mean_delay_ms);
    }

    /// Whether the process is short of processor time.
    pub fn is_overloaded(&self) -> bool {
        self.mean_delay_ms >= OVERLOAD_THRESHOLD_MS
    }
}
