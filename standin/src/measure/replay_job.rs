//! How far a job has come in a replay.

use yuccaridge::job::Seat;
use yuccaridge::name::EndpointName;
use yuccaridge::time::Millis;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not there yet.
    Future,
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
    Over,
}

/// Claim of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// None within a guarantee, or one that was judged already.
    None,
    /// Within a guarantee.
    Open,
    /// Within a guarantee, and not met by the decisions of the moment at which it came.
    Blocked,
}

/// A job in a replay.
#[derive(Debug, Clone)]
pub struct Progress {
    /// State.
    pub stage: Stage,
    /// Start of the present wait, or of the run.
    pub since: Millis,
    /// Number of the attempt.
    pub attempt: u32,
    /// Work left, in milliseconds at speed 1.
    pub left: f64,
    /// Work done per millisecond.
    pub rate: f64,
    /// Time spent without running, over all attempts.
    pub waited: Millis,
    /// Seats held.
    pub seats: Vec<Seat>,
    /// Whether they count as guaranteed.
    pub guaranteed: bool,
    /// Its claim in this attempt.
    pub claim: Claim,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// Lost endpoint.
    pub lost: Option<EndpointName>,
}

impl Progress {
    /// A job before its arrival.
    pub fn new(work: Millis) -> Self {
        Self {
            stage: Stage::Future,
            since: Millis::ZERO,
            attempt: 0,
            left: work.0 as f64,
            rate: 0.0,
            waited: Millis::ZERO,
            seats: Vec::new(),
            guaranteed: false,
            claim: Claim::None,
            cancelled: false,
            lost: None,
        }
    }

    /// Whether it holds seats.
    pub fn holds(&self) -> bool {
        !self.seats.is_empty()
    }

    /// Stops the clock of a run and keeps what was done.
    pub fn save(&mut self, now: Millis) {
        self.left -= now.since(self.since).0 as f64 * self.rate;
        self.left = self.left.max(1.0);
    }
}
