//! Order to start a task.

use std::sync::Arc;

/// Order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run; rises with each start of the task.
    pub run: u32,
    /// What the task is told to do.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// End of the lease on the clock of the endpoint, in milliseconds.
    pub lease_end: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Permission of the advice service; empty where none is needed.
    pub ticket: Arc<str>,
}
