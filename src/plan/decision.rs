//! Decisions that a policy returns.

use crate::job::Seat;
use crate::name::{EndpointName, JobId, TeamName};

/// Why a running job is stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReason {
    /// A team reclaims its guarantee.
    Reclaim {
        /// The team.
        team: TeamName,
    },
    /// The job was backfilled before a reservation and exceeded its expected end.
    Overrun,
    /// A larger gang that has waited long enough needs the seats.
    Gang {
        /// The gang.
        job: JobId,
    },
    /// The endpoint is leaving or quarantined.
    Evict,
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Place a waiting job on these seats.
    Place {
        /// The job.
        job: JobId,
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats are inside the team's guarantee.
        guaranteed: bool,
    },
    /// Stop a running job, with a checkpoint if it supports that. Afterwards report
    /// [`EndKind::Stopped`](super::EndKind::Stopped) and queue the job again.
    Stop {
        /// The job.
        job: JobId,
        /// Why it is stopped.
        reason: StopReason,
    },
    /// End a waiting job permanently.
    Reject {
        /// The job.
        job: JobId,
        /// Human-readable reason.
        reason: String,
        /// Whether the job kept failing; otherwise it does not fit the pool.
        failed: bool,
    },
    /// Place nothing but probes on an endpoint until one succeeds.
    Quarantine {
        /// The endpoint.
        endpoint: EndpointName,
        /// Human-readable reason.
        reason: String,
    },
    /// End the quarantine of an endpoint.
    Reinstate {
        /// The endpoint.
        endpoint: EndpointName,
    },
}
