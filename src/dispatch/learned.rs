//! Stored form of the speeds and work estimates that a leader has learned, for its successor.

use std::sync::Arc;

use prost::Message;

use crate::interference::{KindStats, Moments};

/// Learned speed of an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedSpeed {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of the endpoint, which identifies its incarnation.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Logarithm of the speed.
    #[prost(float, tag = "3")]
    pub log_speed: f32,
    /// Total weight of the measurements.
    #[prost(float, tag = "4")]
    pub total_weight: f32,
}

/// Largest logarithm of a speed that is restored; endpoints of a pool differ by factors of 2 to 4.
const LOG_SPEED_MAX: f32 = 10.0;

impl LearnedSpeed {
    /// Whether measurements can have given it. An estimate that is not a number would stay so.
    pub fn is_plausible(&self) -> bool {
        self.log_speed.abs() <= LOG_SPEED_MAX && self.total_weight >= 0.0 && self.total_weight.is_finite()
    }
}

/// Learned work of the tasks of a queue; see [`WorkStats`](super::WorkStats).
#[derive(Clone, PartialEq, Message)]
pub struct LearnedWork {
    /// Name of the queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Number of measurements.
    #[prost(double, tag = "2")]
    pub count: f64,
    /// Sum of the logarithms of the work.
    #[prost(double, tag = "3")]
    pub sum: f64,
    /// Sum of their squares.
    #[prost(double, tag = "4")]
    pub squares: f64,
    /// Sum of the squared errors of the callers' estimates.
    #[prost(double, tag = "5")]
    pub errors: f64,
}

impl LearnedWork {
    /// Whether measurements can have given it. A sum that is not a number would stay so.
    pub fn is_plausible(&self) -> bool {
        let sums = [self.count, self.sum, self.squares, self.errors];
        sums.iter().all(|sum| sum.is_finite()) && self.count >= 0.0 && self.squares >= 0.0 && self.errors >= 0.0
    }
}

/// Learned speeds of a kind of tasks beside another; see [`Moments`].
#[derive(Clone, PartialEq, Message)]
pub struct LearnedMoments {
    /// Name of the other kind.
    #[prost(string, tag = "1")]
    pub beside: String,
    /// Decayed number of measurements.
    #[prost(double, tag = "2")]
    pub weight: f64,
    /// Mean of the logarithms of the speed.
    #[prost(double, tag = "3")]
    pub mean: f64,
    /// Sum of the squared deviations from the mean.
    #[prost(double, tag = "4")]
    pub squares: f64,
}

impl LearnedMoments {
    fn new(beside: &str, moments: &Moments) -> Self {
        Self {
            beside: beside.to_owned(),
            weight: moments.weight,
            mean: moments.mean,
            squares: moments.squares,
        }
    }

    fn moments(&self) -> Moments {
        Moments {
            weight: self.weight,
            mean: self.mean,
            squares: self.squares,
        }
    }
}

/// Learned speeds of a kind of tasks.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedKind {
    /// Name of the kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// All measurements.
    #[prost(message, required, tag = "2")]
    pub total: LearnedMoments,
    /// Those beside each other kind.
    #[prost(message, repeated, tag = "3")]
    pub beside: Vec<LearnedMoments>,
}

impl LearnedKind {
    pub(super) fn new(kind: &str, stats: &KindStats) -> Self {
        let beside = stats.beside.iter();
        Self {
            kind: kind.to_owned(),
            total: LearnedMoments::new("", &stats.total),
            beside: beside
                .map(|(name, moments)| LearnedMoments::new(name, moments))
                .collect(),
        }
    }

    /// Measurements of the kind.
    pub(super) fn stats(&self) -> KindStats {
        let beside = self.beside.iter();
        KindStats {
            total: self.total.moments(),
            beside: beside
                .map(|found| (Arc::from(&*found.beside), found.moments()))
                .collect(),
        }
    }
}

/// Everything that a leader has learned. Losing it makes some jobs late and does no other harm.
#[derive(Clone, PartialEq, Message)]
pub struct Learned {
    /// Speeds of endpoints.
    #[prost(message, repeated, tag = "1")]
    pub speeds: Vec<LearnedSpeed>,
    /// Work of tasks by queue.
    #[prost(message, repeated, tag = "2")]
    pub works: Vec<LearnedWork>,
    /// Effects between kinds of tasks.
    #[prost(message, repeated, tag = "3")]
    pub kinds: Vec<LearnedKind>,
}
