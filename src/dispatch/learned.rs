//! What a leader has learned, as it is stored for the next one.

use prost::Message;

/// Speed of an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedSpeed {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Life of the endpoint.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Logarithm of the speed.
    #[prost(float, tag = "3")]
    pub log_speed: f32,
    /// Measurements, by weight.
    #[prost(float, tag = "4")]
    pub weight: f32,
}

/// Work of the tasks of a queue.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedWork {
    /// Name of the queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Number of measurements.
    #[prost(double, tag = "2")]
    pub count: f64,
    /// Sum of logarithms.
    #[prost(double, tag = "3")]
    pub sum: f64,
    /// Sum of their squares.
    #[prost(double, tag = "4")]
    pub squares: f64,
    /// Sum of squared errors of the estimates.
    #[prost(double, tag = "5")]
    pub errors: f64,
}

/// What a leader has learned. Losing it costs some late jobs and nothing else.
#[derive(Clone, PartialEq, Message)]
pub struct Learned {
    /// Speeds of endpoints.
    #[prost(message, repeated, tag = "1")]
    pub speeds: Vec<LearnedSpeed>,
    /// Work of tasks by queue.
    #[prost(message, repeated, tag = "2")]
    pub works: Vec<LearnedWork>,
}
