//! State of a job in a replay.

use yuccaridge::job::Seat;
use yuccaridge::name::EndpointName;
use yuccaridge::time::Millis;

/// Stage of a job's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not submitted yet.
    NotArrived,
    /// Queued.
    Waiting,
    /// Has seats but does not run yet.
    Placed,
    /// Runs on all seats.
    Running,
    /// Was told to stop but still holds its seats.
    Stopping,
    /// Lost an endpoint and holds its seats until the task leases lapse.
    Lost,
    /// Ended for good.
    Ended,
}

/// Claim of a waiting job on its team's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// No claim within the guarantee, or one that was already checked.
    None,
    /// Within the guarantee.
    Open,
    /// Within the guarantee, and not placed by the decisions at the time of the claim.
    Unmet,
}

/// A job in a replay.
#[derive(Debug, Clone)]
pub struct ReplayJob {
    /// Stage.
    pub stage: Stage,
    /// Start of the current wait or run.
    pub stage_start: Millis,
    /// Number of the attempt.
    pub attempt: u32,
    /// Remaining work, in milliseconds at speed 1.
    pub remaining_work_ms: f64,
    /// Speed of the slowest endpoint of the run; work per millisecond.
    pub speed: f64,
    /// Time between queueing and start, or until a stop or loss before the start, over all attempts.
    pub time_not_running: Millis,
    /// Seats held.
    pub seats: Vec<Seat>,
    /// Whether the seats count as guaranteed.
    pub guaranteed: bool,
    /// Claim in the current attempt.
    pub claim: ClaimState,
    /// Whether the caller has cancelled the job.
    pub cancelled: bool,
    /// Lost endpoint.
    pub lost_endpoint: Option<EndpointName>,
}

impl ReplayJob {
    /// Creates a job that has not arrived.
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

    /// Whether the job holds seats.
    pub fn has_seats(&self) -> bool {
        !self.seats.is_empty()
    }

    /// Subtracts the work of the run up to now; at least 1 ms remains.
    pub fn save_progress(&mut self, now: Millis) {
        self.remaining_work_ms -= now.since(self.stage_start).0 as f64 * self.speed;
        self.remaining_work_ms = self.remaining_work_ms.max(1.0);
    }
}
