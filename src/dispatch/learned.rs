//! Stored form of the speeds and work estimates that a leader has learned, for its successor.

use prost::Message;

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

/// Everything that a leader has learned. Losing it makes some jobs late and does no other harm.
#[derive(Clone, PartialEq, Message)]
pub struct Learned {
    /// Speeds of endpoints.
    #[prost(message, repeated, tag = "1")]
    pub speeds: Vec<LearnedSpeed>,
    /// Work of tasks by queue.
    #[prost(message, repeated, tag = "2")]
    pub works: Vec<LearnedWork>,
}
