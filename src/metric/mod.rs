//! What an instance counts, in the form that Prometheus reads.
//!
//! Labels have few values by design: steps, results, routes and pools, never jobs, teams or endpoints. At the target
//! size that keeps the text below 100 KB.

mod instance;
mod label;
mod metrics;

pub use instance::{AnswerLabel, InstanceMetrics, ReasonLabel};
pub use label::{Direction, Outgoing, PoolLabel, RequestLabel, StepLabel, StepResult};
pub use metrics::Metrics;
