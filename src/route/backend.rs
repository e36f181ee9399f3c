//! Input of the router about endpoints and calls.

use crate::name::EndpointName;

/// An endpoint as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: EndpointName,
    /// Calls that it runs at once, summed over all instances.
    pub slots: u16,
    /// Connections that it accepts, summed over all instances.
    pub connections: u16,
    /// Whether it may get new calls; false while it is leaving or quarantined.
    pub open: bool,
}

/// What the end of a call says about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallResult {
    /// The endpoint answered; an answer that reports an error of the job counts too.
    Answered,
    /// The endpoint refused because all its slots are taken.
    Busy,
    /// The endpoint closed the connection early or answered with an error of its own.
    Failed,
    /// The endpoint could not be reached.
    Unreachable,
    /// The sender gave up; this says nothing about the endpoint.
    Abandoned,
}
