//! Members of units.

use std::sync::Arc;

/// Where a member is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Decided; the record is not stored yet, nothing was sent.
    Planned,
    /// The start was sent and has no answer that settles it.
    Sent {
        /// Attempts so far.
        tries: u32,
        /// When to send it again, in milliseconds.
        resend_at: u64,
    },
    /// The endpoint has confirmed the run.
    Running,
    /// A former leader may have started it; the endpoint has not been asked yet.
    Recovered,
    /// It has to stop.
    Stopping {
        /// When the stop was confirmed, in milliseconds; the run is gone once a later report doesn't list it.
        acked_at: Option<u64>,
        /// When to send the stop again, in milliseconds.
        resend_at: u64,
    },
    /// The run is known to be gone; its room is free.
    Gone,
}

/// One member of a unit in its present run.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Endpoint that it was given to.
    pub endpoint: Arc<str>,
    /// Life of that endpoint.
    pub born: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// State.
    pub state: MemberState,
    /// Latest progress, in percent.
    pub percent: f64,
    /// When the progress last changed, in milliseconds.
    pub progressed_at: u64,
    /// Progress and time when it was first seen at work; the speed is measured from here.
    pub measured_from: Option<(f64, u64)>,
}

impl Member {
    /// Whether its room is still taken.
    pub fn holds_room(&self) -> bool {
        self.state != MemberState::Gone
    }
}
