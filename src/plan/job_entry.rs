//! The jobs that the core knows, waiting or holding seats.

use super::QueuedJob;
use crate::job::Seat;
use crate::time::Millis;

/// Seats of a running job.
#[derive(Debug, Clone)]
pub(super) struct HeldSeats {
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether they lie in the team's guarantee.
    pub guaranteed: bool,
    /// When all members had started.
    pub started: Option<Millis>,
}

/// Seats that are being vacated for a waiting job.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether they lie in the team's guarantee.
    pub guaranteed: bool,
}

/// How far a job has come.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Waits for seats.
    Waiting,
    /// Waits for its seats to be vacated.
    Claiming(Claim),
    /// Holds seats.
    Holding(HeldSeats),
}

/// A job and where it stands.
#[derive(Debug, Clone)]
pub(super) struct JobEntry {
    /// As queued.
    pub job: QueuedJob,
    /// How far it has come.
    pub stage: Stage,
    /// Not to be placed before this time, since a placement was not carried out.
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

    /// Its seats, if it holds any.
    pub(super) fn held(&self) -> Option<&HeldSeats> {
        match &self.stage {
            Stage::Holding(held) => Some(held),
            Stage::Waiting | Stage::Claiming(_) => None,
        }
    }
}

/// Whether a job can be stopped and run again without harm.
pub(super) fn preemptible(job: &QueuedJob) -> bool {
    job.checkpoints || job.idempotent
}
