//! Queues of the configuration.

use std::sync::Arc;

use super::AdviceTerms;

/// A queue that callers submit jobs to.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name; stays the same when the rest changes.
    pub name: Arc<str>,
    /// Host name that callers use.
    pub host: Arc<str>,
    /// Beginning of the paths that belong to the queue.
    pub prefix: Arc<str>,
    /// Pool of endpoints that runs its tasks.
    pub pool: Arc<str>,
    /// Priority; 0 comes first and may preempt others.
    pub priority: u32,
    /// Runs of a task that may end as failed before the job has failed.
    pub attempts: u32,
    /// Factor from the longest chain of work to the time in which a job should be done.
    pub stretch: f64,
    /// Time that is added to the above, in milliseconds.
    pub slack_ms: u64,
    /// No key is needed.
    pub open: bool,
    /// Terms of the site's advice service, if starts on its endpoints need a ticket.
    pub advice: Option<AdviceTerms>,
}
