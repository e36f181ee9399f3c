//! Protocol mechanisms that tests can disable in an endpoint.

/// Mechanisms that an endpoint lacks, to verify that a checker detects the violations that follow.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Defects {
    /// Executes commands of stale epochs.
    pub ignores_epochs: bool,
    /// Answers refusals without storing them, so that a delayed copy of the request still starts.
    pub forgets_refusals: bool,
    /// Starts a task on `Prepare` instead of waiting for `Release`.
    pub starts_when_prepared: bool,
}
