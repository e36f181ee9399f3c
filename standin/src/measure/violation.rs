//! What a policy must never do.

use serde::Serialize;

/// A broken promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A gang was placed in part.
    PartialGang,
    /// An accelerator was given to two jobs.
    HeldTwice,
    /// A seat lies on a closed endpoint, beyond its resources or outside the gang's group.
    Misplaced,
    /// A claim within a team's guarantee started too late.
    ClaimLate,
    /// A job inside its team's guarantee was stopped, though its endpoints were to stay.
    GuaranteedStopped,
    /// More was marked as guaranteed than the team is guaranteed.
    GuaranteeExceeded,
    /// A team held more than its quota.
    QuotaBroken,
    /// A job that can run was ended for good.
    Rejected,
    /// A job had not ended long after the trace.
    Unfinished,
    /// A decision about a job that was not in the right state for it.
    Unfounded,
}
