//! Orders to start tasks.

use std::sync::Arc;

/// Order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run; increases with each start of the task.
    pub run: u32,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// End of the lease on the clock of the endpoint, in milliseconds.
    pub lease_end: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Ticket of the advice service; empty if none is needed.
    pub ticket: Arc<str>,
}
