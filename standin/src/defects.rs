//! Mechanisms that can be taken away from an endpoint.

/// Mechanisms that an endpoint lacks, so that a checker can be shown to notice.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Defects {
    /// Carries out commands of any epoch.
    pub ignores_epochs: bool,
    /// Refuses, but keeps no record of it and starts late copies.
    pub forgets_refusals: bool,
    /// Starts a task when it is prepared, without waiting for its release.
    pub starts_when_prepared: bool,
}
