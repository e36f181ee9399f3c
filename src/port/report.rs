//! Reports of endpoints.

use std::sync::Arc;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The work is done.
    Done,
    /// It failed, through its own fault or the endpoint's.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// A run at work.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent; for a lasting task 100 when it is at work.
    pub percent: f64,
    /// Tail latency in milliseconds of a lasting task with a bound, else the processor use in thousandths of a core.
    pub load: f64,
}

/// An end that the endpoint still lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end within this life of the endpoint, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Report of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Start time of the life that answered, in milliseconds since 1970; `None` if it was not told.
    pub born: Option<u64>,
    /// Clock of the endpoint, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended and is not forgotten, in order of numbers.
    pub ended: Vec<RunEnd>,
}
