//! Queues of the configuration.

use std::sync::Arc;

use super::AdviceTerms;

/// A queue that callers submit jobs to.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name; identifies the queue across changes of its configuration.
    pub name: Arc<str>,
    /// Host name that callers use.
    pub host: Arc<str>,
    /// Prefix of the paths that belong to the queue.
    pub prefix: Arc<str>,
    /// Pool of endpoints that runs its tasks.
    pub pool: Arc<str>,
    /// Priority; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Target time of a job as a multiple of its critical path.
    pub stretch: f64,
    /// Constant part of the target time, in milliseconds; added to the multiple of the critical path.
    pub slack_ms: u64,
    /// Callers need no key.
    pub open: bool,
    /// Terms of the site's advice service, if starts of this queue's tasks need a ticket.
    pub advice: Option<AdviceTerms>,
}
