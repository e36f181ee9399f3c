//! What the router is told about workers and calls.

use crate::name::WorkerName;

/// A worker that takes calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: WorkerName,
    /// Calls that it runs at once, over all instances.
    pub slots: u16,
    /// Connections that it accepts, over all instances.
    pub connections: u16,
    /// Whether it may get new calls; false while it is leaving or quarantined.
    pub open: bool,
}

/// How a call ended, as far as the worker is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallResult {
    /// The worker answered; an answer that reports the job's own error counts too.
    Answered,
    /// The worker refused because all its slots are taken.
    Busy,
    /// The worker broke off or answered with an error of its own.
    Failed,
    /// The worker could not be reached.
    Unreachable,
    /// The sender gave up; this says nothing about the worker.
    Abandoned,
}
