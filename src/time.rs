//! Monotonic time.
//!
//! Controllers never read a clock: each step receives the time as an argument. Only the daemon's loops own a [`Clock`].
//! Times of different processes are never compared.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A point in monotonic time or a duration, in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero.
    pub const ZERO: Self = Self(0);

    /// Duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The duration as a type of the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Source of monotonic time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Milliseconds since an arbitrary point in time.
    fn now(&self) -> Millis;
}

/// Monotonic clock of the operating system; starts at zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock(Instant);

impl SystemClock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(self.0.elapsed().as_millis() as u64)
    }
}
