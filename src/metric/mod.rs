//! Metrics of the instances in the text format of Prometheus.
//!
//! Labels have few values by design: steps, results, routes and pools, but no jobs, teams or endpoints. This keeps the
//! text below 100 KB at the target size.

mod connection;
mod instance;
mod label;
mod metrics;

pub use connection::ConnectionMetrics;
pub use instance::{AnswerLabel, InstanceMetrics, ReasonLabel};
pub use label::{Direction, DirectionLabel, PoolLabel, RequestLabel, StepLabel, StepResult};
pub use metrics::Metrics;
