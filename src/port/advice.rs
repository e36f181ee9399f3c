//! Advice of the site on the endpoints that may run a step.

use std::sync::Arc;

/// Terms of the advice service for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceTerms {
    /// Time that a decision takes, in milliseconds.
    pub decide_ms: u64,
    /// Time that each endpoint of the query adds, in milliseconds.
    pub period_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Query to the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Name of the step, made of job, occurrence and step.
    pub step: Arc<str>,
    /// Endpoints that are asked about.
    pub endpoints: Vec<Arc<str>>,
}

/// Answer of the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// Endpoints that may run the step, with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets, in milliseconds; `None` if the answer does not say.
    pub valid_ms: Option<u64>,
}
