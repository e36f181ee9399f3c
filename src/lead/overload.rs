//! Whether the leader is short of processor.

/// Time between two looks, in milliseconds.
pub const LOOK_MS: u64 = 100;

/// Weight of the newest look in the mean; the mean follows a change within about two seconds.
const WEIGHT: f64 = 0.05;

/// Mean lateness from which the leader is short of processor, in milliseconds. An urgent start passes about ten turns, which
/// would then take half a second of the 2.6 s that it has.
const STRAINED_MS: f64 = 50.0;

/// Mean lateness of a timer.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Strain {
    mean_ms: f64,
}

impl Strain {
    /// Takes in how much later than asked for a timer fired.
    pub fn look(&mut self, late_ms: u64) {
        self.mean_ms += WEIGHT * (late_ms as f64 - self.mean_ms);
    }

    /// Whether the process is short of processor.
    pub fn is_strained(&self) -> bool {
        self.mean_ms >= STRAINED_MS
    }
}
