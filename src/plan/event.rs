//! What the decision core is told.

use std::collections::BTreeMap;

use crate::job::{Seat, Shape};
use crate::name::{DomainName, EndpointName, JobId, KindName, RackName, TeamName};
use crate::platform::ListedEndpoint;
use crate::team::Team;
use crate::time::Millis;

/// An endpoint, as far as planning needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Its name.
    pub name: EndpointName,
    /// Its rack.
    pub rack: RackName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators, numbered from 0; neighbours in number are adjacent.
    pub accelerators: u16,
    /// Tasks that it runs at once.
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

/// A job that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedJob {
    /// Its name.
    pub id: JobId,
    /// Its team.
    pub team: TeamName,
    /// Its kind.
    pub kind: KindName,
    /// What it needs.
    pub shape: Shape,
    /// Declared run time; zero if not declared.
    pub declared: Millis,
    /// Whether it can be stopped at a checkpoint and resumed.
    pub checkpoints: bool,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it claims its team's guarantee and may preempt borrowers.
    pub urgent: bool,
    /// Attempts made so far.
    pub attempt: u32,
    /// When it was accepted; aging counts from here.
    pub accepted_at: Millis,
}

/// A job that holds seats, as found when a planner takes over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningJob {
    /// The job as it was queued.
    pub job: QueuedJob,
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether the seats lie in the team's guarantee.
    pub guaranteed: bool,
    /// When it started.
    pub started: Millis,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndKind {
    /// All members finished.
    Completed,
    /// A member failed; `endpoint` of the event is where.
    Failed,
    /// Stopped on the core's decision; it will be queued again if it is to go on.
    Stopped,
    /// Its caller ended it.
    Cancelled,
    /// An endpoint was lost under it.
    Lost,
}

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The teams and their guarantees in this pool are now these.
    Teams(BTreeMap<TeamName, Team>),
    /// An endpoint joined, or came back.
    EndpointUp(EndpointSpec),
    /// An endpoint gets nothing new; what runs there goes on.
    EndpointLeaving(EndpointName),
    /// An endpoint is in quarantine, as a former planner found; it gets nothing but a probe.
    EndpointQuarantined(EndpointName),
    /// An endpoint is gone; its jobs are reported by `Ended` one by one.
    EndpointDown(EndpointName),
    /// A job was accepted, or is to run again.
    Queued(QueuedJob),
    /// A job holds seats from before this planner.
    Recovered(RunningJob),
    /// A placed job has started on all its seats.
    Started {
        /// The job.
        job: JobId,
    },
    /// A decided placement was not carried out; the seats are free and the job waits again.
    Unplaced {
        /// The job.
        job: JobId,
        /// Endpoint that refused, if one did.
        endpoint: Option<EndpointName>,
    },
    /// A job that held seats ended and its seats are free.
    Ended {
        /// The job.
        job: JobId,
        /// How.
        kind: EndKind,
        /// Endpoint that is to blame, or was lost.
        endpoint: Option<EndpointName>,
    },
    /// A waiting job is no longer wanted.
    Withdrawn(JobId),
    /// A job's team overran or a caller changed nothing; its usage was reported.
    Usage {
        /// The job.
        job: JobId,
        /// Cores in use over all members.
        cores: f64,
    },
}
