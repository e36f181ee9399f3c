//! Labels.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

/// How an attempt at a step ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(
    non_camel_case_types,
    reason = "the derive writes the variant's name as the label's value"
)]
pub enum StepResult {
    /// Done.
    ok,
    /// A check did not hold; nothing was done.
    conflict,
    /// Refused or not reached; nothing was done.
    failed,
    /// The answer was lost.
    unknown,
}

/// A step of a life cycle.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StepLabel {
    /// Name of the step.
    pub step: &'static str,
    /// How it ended.
    pub result: StepResult,
}

/// A request of a caller or operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabel {
    /// Name of the route.
    pub route: &'static str,
    /// HTTP status of the answer.
    pub status: u16,
}

/// A pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    /// Name of the pool.
    pub pool: String,
}

/// Way of a message between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(
    non_camel_case_types,
    reason = "the derive writes the variant's name as the label's value"
)]
pub enum Direction {
    /// Sent.
    sent,
    /// Received.
    received,
    /// Dropped because a queue was full.
    dropped,
}

/// Messages between instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outgoing {
    /// Way.
    pub direction: Direction,
}
