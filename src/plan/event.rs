//! Events that a policy processes.

use std::collections::BTreeMap;

use crate::job::{Seat, Shape};
use crate::name::{DomainName, EndpointName, JobId, KindName, RackName, TeamName};
use crate::platform::ListedEndpoint;
use crate::team::Team;
use crate::time::Millis;

/// The properties of an endpoint that scheduling depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name.
    pub name: EndpointName,
    /// Rack.
    pub rack: RackName,
    /// Failure domain.
    pub domain: DomainName,
    /// Cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators. They are indexed from 0, and accelerators with neighbouring indices are adjacent.
    pub accelerators: u16,
    /// Maximum number of concurrent tasks.
    pub slots: u16,
}

impl From<&ListedEndpoint> for EndpointSpec {
    fn from(listed: &ListedEndpoint) -> Self {
        Self {
            name: listed.name.clone(),
            rack: listed.rack.clone(),
            domain: listed.domain.clone(),
            cores: listed.cores,
            memory_mb: listed.memory_mb,
            accelerators: listed.accelerators,
            slots: listed.slots,
        }
    }
}

/// A waiting job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedJob {
    /// Job ID.
    pub id: JobId,
    /// Team.
    pub team: TeamName,
    /// Kind.
    pub kind: KindName,
    /// Resources of each member, number of members and their adjacency.
    pub shape: Shape,
    /// Declared run time, or zero if none was declared.
    pub declared: Millis,
    /// Whether the job can be stopped at a checkpoint and resumed from it.
    pub checkpoints: bool,
    /// Whether the job can safely run more than once.
    pub idempotent: bool,
    /// Whether the job claims its team's guarantee and may preempt borrowers for it.
    pub urgent: bool,
    /// Number of earlier attempts.
    pub attempt: u32,
    /// When the job was accepted. Aging counts from this time.
    pub accepted_at: Millis,
}

/// A job that already holds seats when a planner takes over the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningJob {
    /// The job as queued.
    pub job: QueuedJob,
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether the seats are inside the team's guarantee.
    pub guaranteed: bool,
    /// When the job started.
    pub started: Millis,
}

/// How an attempt to run a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndKind {
    /// All members finished.
    Completed,
    /// A member failed on the `endpoint` of the event.
    Failed,
    /// Stopped by [`Decision::Stop`](super::Decision::Stop); the job is queued again if it is to continue.
    Stopped,
    /// Cancelled by its caller.
    Cancelled,
    /// An endpoint that the job ran on was lost.
    Lost,
}

/// A change that the policy has to take into account.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Replaces the teams and their guarantees.
    Teams(BTreeMap<TeamName, Team>),
    /// An endpoint joined or returned.
    EndpointUp(EndpointSpec),
    /// An endpoint accepts no new work; running jobs continue.
    EndpointLeaving(EndpointName),
    /// An endpoint was quarantined by an earlier planner; it gets only probe jobs.
    EndpointQuarantined(EndpointName),
    /// An endpoint is gone; its jobs are reported one by one with `Ended`.
    EndpointDown(EndpointName),
    /// A job was accepted or is to run again.
    Queued(QueuedJob),
    /// A job holds seats that an earlier planner gave it.
    Recovered(RunningJob),
    /// A placed job has started on all of its seats.
    Started {
        /// The job.
        job: JobId,
    },
    /// A placement could not be carried out; its seats are free and the job waits again.
    Unplaced {
        /// The job.
        job: JobId,
        /// Endpoint that refused the placement, if one did.
        endpoint: Option<EndpointName>,
    },
    /// An attempt ended and its seats are free.
    Ended {
        /// The job.
        job: JobId,
        /// How the attempt ended.
        kind: EndKind,
        /// Endpoint that caused the failure or was lost.
        endpoint: Option<EndpointName>,
    },
    /// A waiting job was withdrawn.
    Withdrawn(JobId),
    /// The usage of a running job was reported.
    Usage {
        /// The job.
        job: JobId,
        /// Cores in use, summed over all members.
        cores: f64,
    },
}
