//! Advice on where a step may run.

use std::sync::Arc;

/// Terms of the advice service for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceTerms {
    /// Time for a decision, in milliseconds.
    pub decide_ms: u64,
    /// Time that each named endpoint adds, in milliseconds.
    pub period_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Question to the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Name of the step: job, occurrence and step.
    pub step: Arc<str>,
    /// Endpoints in question.
    pub endpoints: Vec<Arc<str>>,
}

/// Its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// Endpoints that may run the step, with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
}
