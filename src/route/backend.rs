//! What the router is told about endpoints and calls.

use crate::name::EndpointName;

/// An endpoint that takes calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: EndpointName,
    /// Calls that it runs at once, over all instances.
    pub slots: u16,
    /// Connections that it accepts, over all instances.
    pub connections: u16,
    /// Whether it may get new calls; false while it is leaving or quarantined.
    pub open: bool,
}

/// How a call ended, as far as the endpoint is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallResult {
    /// The endpoint answered; an answer that reports the job's own error counts too.
    Answered,
    /// The endpoint refused because all its slots are taken.
    Busy,
    /// The endpoint broke off or answered with an error of its own.
    Failed,
    /// The endpoint could not be reached.
    Unreachable,
    /// The sender gave up; this says nothing about the endpoint.
    Abandoned,
}
