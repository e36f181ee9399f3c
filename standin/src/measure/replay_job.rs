//! How far a job has come in a replay.

use yuccaridge::job::Seat;
use yuccaridge::name::EndpointName;
use yuccaridge::time::Millis;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not there yet.
    NotArrived,
    /// Queued.
    Waiting,
    /// Has seats, does not run yet.
    Placed,
    /// Runs on all seats.
    Running,
    /// Was told to stop; still holds its seats.
    Stopping,
    /// Lost an endpoint; holds its seats until the leases lapse.
    Lost,
    /// Ended.
    Ended,
}

/// Claim of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// None within a guarantee, or one that was judged already.
    None,
    /// Within a guarantee.
    Open,
    /// Within a guarantee, and not met by the decisions of the moment at which it came.
    Unmet,
}

/// A job in a replay.
#[derive(Debug, Clone)]
pub struct ReplayJob {
    /// State.
    pub stage: Stage,
    /// Start of the present wait, or of the run.
    pub stage_start: Millis,
    /// Number of the attempt.
    pub attempt: u32,
    /// Work left, in milliseconds at speed 1.
    pub remaining_work_ms: f64,
    /// Work done per millisecond.
    pub speed: f64,
    /// Time spent without running, over all attempts.
    pub time_not_running: Millis,
    /// Seats held.
    pub seats: Vec<Seat>,
    /// Whether they count as guaranteed.
    pub guaranteed: bool,
    /// Its claim in this attempt.
    pub claim: ClaimState,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// Lost endpoint.
    pub lost_endpoint: Option<EndpointName>,
}

impl ReplayJob {
    /// A job before its arrival.
    pub fn new(work: Millis) -> Self {
        Self {
            stage: Stage::NotArrived,
            stage_start: Millis::ZERO,
            attempt: 0,
            remaining_work_ms: work.0 as f64,
            speed: 0.0,
            time_not_running: Millis::ZERO,
            seats: Vec::new(),
            guaranteed: false,
            claim: ClaimState::None,
            cancelled: false,
            lost_endpoint: None,
        }
    }

    /// Whether it holds seats.
    pub fn has_seats(&self) -> bool {
        !self.seats.is_empty()
    }

    /// Stops the clock of a run and keeps what was done.
    pub fn save_progress(&mut self, now: Millis) {
        self.remaining_work_ms -= now.since(self.stage_start).0 as f64 * self.speed;
        self.remaining_work_ms = self.remaining_work_ms.max(1.0);
    }
}
