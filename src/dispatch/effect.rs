//! Orders that the dispatcher wants sent.

use std::sync::Arc;

/// Start of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Id of the job.
    pub job: Arc<str>,
    /// Position of the unit in the job.
    pub unit: usize,
    /// Index of the member in the unit.
    pub member: usize,
    /// Number of the run.
    pub run: u32,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Name of the task.
    pub task: Arc<str>,
    /// What the task is told to do.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Permission of the advice service; empty where none is needed.
    pub ticket: Arc<str>,
}

/// Question where a step may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Id of the job.
    pub job: Arc<str>,
    /// Occurrence and step.
    pub step_key: (u32, usize),
    /// Name of the step.
    pub step: Arc<str>,
    /// Endpoints in question.
    pub endpoints: Vec<Arc<str>>,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
    /// Time in which an answer is expected, in milliseconds.
    pub timeout_ms: u64,
    /// When the question was decided, in milliseconds.
    pub decided_at: u64,
}

/// Stop of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
}

/// An order to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start a member.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Ask where a step may run.
    AdviceRequest(AdviceRequest),
}
