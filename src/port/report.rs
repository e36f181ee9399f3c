//! Reports of endpoints.

use std::sync::Arc;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The work is complete.
    Done,
    /// It failed because of the task or the endpoint.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its wait for the other members of the gang timed out.
    Alone,
}

/// A running task.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent; 100 for a lasting task that is up.
    pub percent: f64,
    /// Tail latency in milliseconds for a lasting task with a latency bound, otherwise processor use in thousandths of a
    /// core.
    pub load: f64,
}

/// End of a run that the endpoint has not forgotten yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end within this incarnation of the endpoint, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub outcome: Outcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Report of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Start time of the endpoint that answered, in milliseconds since 1970; `None` if the answer lacks it.
    pub born: Option<u64>,
    /// Clock of the endpoint, in milliseconds.
    pub clock_ms: u64,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Ends that are not forgotten yet, in the order of their numbers.
    pub ended: Vec<RunEnd>,
    /// Further ends may follow once these are acknowledged.
    pub more_ends: bool,
}
