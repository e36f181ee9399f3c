//! Orders for the caller of the dispatcher to send.

use std::sync::Arc;

/// Order to start one member of a unit.
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
    /// Start time of the incarnation that the order is for.
    pub born: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Payload of the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service; empty if none is needed.
    pub ticket: Arc<str>,
}

/// Request to the advice service: on which endpoints may a step run?
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Id of the job.
    pub job: Arc<str>,
    /// Occurrence and step.
    pub step_key: (u32, usize),
    /// Name of the step.
    pub step: Arc<str>,
    /// Endpoints that the request names.
    pub endpoints: Vec<Arc<str>>,
    /// How long a ticket is valid by the configuration, in milliseconds.
    pub valid_ms: u64,
    /// Time after which the answer counts as lost, in milliseconds.
    pub timeout_ms: u64,
    /// Number of the call.
    pub call: u64,
    /// When it was decided, in milliseconds.
    pub decided_at: u64,
}

/// Order to stop one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the incarnation that the order is for.
    pub born: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
}

/// An order to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Starts a member.
    Start(Start),
    /// Stops a run.
    Stop(Stop),
    /// Asks the advice service on which endpoints a step may run.
    AdviceRequest(AdviceRequest),
}
