//! What the decision core wants done.

use crate::job::Seat;
use crate::name::{EndpointName, JobId, TeamName};

/// Why a running job is to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReason {
    /// A team claims its guarantee.
    Reclaim {
        /// The team.
        team: TeamName,
    },
    /// It was backfilled before a reservation and has overrun.
    Overrun,
    /// A larger gang that has waited needs its place.
    Gang {
        /// The gang.
        job: JobId,
    },
    /// Its endpoint is leaving or quarantined.
    Evict,
}

/// Something to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Give a waiting job these seats.
    Place {
        /// The job.
        job: JobId,
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats lie in the team's guarantee.
        guaranteed: bool,
    },
    /// Stop a running job, with a checkpoint if it can write one; then report `Ended` with `Stopped` and queue it again.
    Stop {
        /// The job.
        job: JobId,
        /// Why.
        reason: StopReason,
    },
    /// End a waiting job for good.
    Reject {
        /// The job.
        job: JobId,
        /// Reason, for a person.
        reason: String,
        /// Whether it has failed on several endpoints, rather than never having fitted.
        failed: bool,
    },
    /// Give an endpoint nothing new until a probe succeeds.
    Quarantine {
        /// The endpoint.
        endpoint: EndpointName,
        /// Reason, for a person.
        reason: String,
    },
    /// Take an endpoint out of quarantine.
    Reinstate {
        /// The endpoint.
        endpoint: EndpointName,
    },
}
