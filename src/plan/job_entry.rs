//! The jobs that the core knows, waiting or holding seats.

use super::QueuedJob;
use crate::job::Seat;
use crate::time::Millis;

/// Seats of a running job.
#[derive(Debug, Clone)]
pub(super) struct Held {
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether they lie in the team's guarantee.
    pub firm: bool,
    /// When all members had started.
    pub started: Option<Millis>,
}

/// Seats that are being vacated for a waiting job.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// One seat for each member.
    pub seats: Vec<Seat>,
    /// Whether they lie in the team's guarantee.
    pub firm: bool,
}

/// How far a job has come.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Waits for seats.
    Waiting,
    /// Waits for its seats to be vacated.
    Claiming(Claim),
    /// Holds seats.
    Holding(Held),
}

/// A job and where it stands.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// As queued.
    pub job: QueuedJob,
    /// How far it has come.
    pub stage: Stage,
    /// Not to be placed before this time, since a placement was not carried out.
    pub pause: Millis,
}

impl Entry {
    pub(super) fn new(job: QueuedJob) -> Self {
        Self {
            job,
            stage: Stage::Waiting,
            pause: Millis::ZERO,
        }
    }

    /// Its seats, if it holds any.
    pub(super) fn held(&self) -> Option<&Held> {
        match &self.stage {
            Stage::Holding(held) => Some(held),
            Stage::Waiting | Stage::Claiming(_) => None,
        }
    }
}

/// Whether a job can be stopped and run again without harm.
pub(super) fn flexible(job: &QueuedJob) -> bool {
    job.checkpoints || job.idempotent
}
