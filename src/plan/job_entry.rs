//! The scheduler's state of a job, whether it waits or holds seats.

use super::QueuedJob;
use crate::job::Seat;
use crate::time::Millis;

/// Seats of a placed or running job.
#[derive(Debug, Clone)]
pub(super) struct HeldSeats {
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether the seats are inside the team's guarantee.
    pub guaranteed: bool,
    /// When all members had started; `None` before that.
    pub started: Option<Millis>,
}

/// Seats that are being vacated for a waiting job.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether the seats are inside the team's guarantee.
    pub guaranteed: bool,
}

/// Scheduling state of a job.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Waits for seats.
    Waiting,
    /// Waits until the claimed seats are vacated.
    Claiming(Claim),
    /// Holds seats.
    Holding(HeldSeats),
}

/// A job and its scheduling state.
#[derive(Debug, Clone)]
pub(super) struct JobEntry {
    /// The job as queued.
    pub job: QueuedJob,
    /// Scheduling state.
    pub stage: Stage,
    /// The job is not placed before this time, because an earlier placement was not carried out.
    pub paused_until: Millis,
}

impl JobEntry {
    pub(super) fn new(job: QueuedJob) -> Self {
        Self {
            job,
            stage: Stage::Waiting,
            paused_until: Millis::ZERO,
        }
    }

    /// The job's seats, if it holds any.
    pub(super) fn held(&self) -> Option<&HeldSeats> {
        match &self.stage {
            Stage::Holding(held) => Some(held),
            Stage::Waiting | Stage::Claiming(_) => None,
        }
    }
}

/// Whether a job can be stopped and run again safely.
pub(super) fn preemptible(job: &QueuedJob) -> bool {
    job.checkpoints || job.idempotent
}
