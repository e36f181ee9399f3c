//! Labels of the metrics.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

/// Result of an attempt at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(
    non_camel_case_types,
    reason = "the derive writes the variant's name as the label's value"
)]
pub enum StepResult {
    /// The step was done.
    ok,
    /// A precondition of the commit did not hold; nothing was done.
    conflict,
    /// The request was refused or not delivered; nothing was done.
    failed,
    /// The answer was lost; the step may have been done.
    unknown,
}

/// Labels of a life cycle step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StepLabel {
    /// Name of the step.
    pub step: &'static str,
    /// Result of the step.
    pub result: StepResult,
}

/// Labels of an API request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabel {
    /// Name of the route.
    pub route: &'static str,
    /// HTTP status of the answer.
    pub status: u16,
}

/// Label of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    /// Name of the pool.
    pub pool: String,
}

/// What happened to a frame between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(
    non_camel_case_types,
    reason = "the derive writes the variant's name as the label's value"
)]
pub enum Direction {
    /// Written to a connection.
    sent,
    /// Read from a connection.
    received,
    /// Dropped from a send queue because it was full or the frame was too old.
    dropped,
}

/// Label of frames between instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// Sent, received or dropped.
    pub direction: Direction,
}
