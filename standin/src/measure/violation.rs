//! Rules that no policy may break.

use serde::Serialize;

/// A broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// Only part of a gang was placed.
    PartialGang,
    /// An accelerator was allocated twice.
    HeldTwice,
    /// A seat is on a closed endpoint, exceeds its resources or is outside the gang's adjacency group.
    Misplaced,
    /// A claim within a team's guarantee started too late.
    ClaimLate,
    /// A job within its team's guarantee was stopped, and not to evacuate a quarantined endpoint.
    GuaranteedStopped,
    /// More accelerators were placed as guaranteed than the team's guarantees contain.
    GuaranteeExceeded,
    /// A team's jobs held more accelerators than its quota.
    QuotaBroken,
    /// A job that can run was rejected.
    Rejected,
    /// A job had not ended at the end of the replay.
    Unfinished,
    /// A decision does not apply to the current state of its job, or names an unknown job.
    Unfounded,
}
