//! Members: the tasks of a placed unit.

use std::sync::Arc;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Placed; the record is not stored yet, so the start was not sent.
    Planned,
    /// The start was released for sending and has not been confirmed.
    Sent {
        /// Attempts so far.
        tries: u32,
        /// When to resend the start, in milliseconds.
        resend_at: u64,
    },
    /// The endpoint has confirmed the run.
    Running,
    /// A former leader may have started it; the endpoint has not reported to this leader yet.
    Recovered,
    /// Being stopped.
    Stopping {
        /// When the endpoint confirmed the stop, in milliseconds; the run is gone once a later report does not list it.
        acked_at: Option<u64>,
        /// When to resend the stop, in milliseconds.
        resend_at: u64,
        /// Its start was released once and has no answer yet; if it is not carried out, the run does not exist.
        start_pending: bool,
    },
    /// The run is known to be gone; its resources are free.
    Gone,
}

impl MemberState {
    /// Whether a single start order has been released and has no answer yet.
    pub(super) fn has_one_start(self) -> bool {
        matches!(
            self,
            Self::Sent { tries: 1, .. }
                | Self::Stopping {
                    start_pending: true,
                    ..
                }
        )
    }
}

/// One member of a unit in its current run.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Index of its task within the unit; after a takeover the members that are gone are left out.
    pub index: u32,
    /// Endpoint on which it was placed.
    pub endpoint: Arc<str>,
    /// Start time of that endpoint, which identifies its incarnation.
    pub born: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// State.
    pub state: MemberState,
    /// Latest reported progress, in percent.
    pub percent: f64,
    /// When the progress last increased, in milliseconds.
    pub progressed_at: u64,
    /// Progress and time from which the next speed measurement counts.
    pub measured_from: Option<(f64, u64)>,
    /// Whether its speed has been compared with that of other runs of its step.
    pub compared: bool,
}

impl Member {
    /// A member of a run that has just been placed or recovered.
    pub(super) fn new(index: u32, endpoint: Arc<str>, born: u64, task: Arc<str>, state: MemberState, now: u64) -> Self {
        Self {
            index,
            endpoint,
            born,
            task,
            state,
            percent: 0.0,
            progressed_at: now,
            measured_from: None,
            compared: false,
        }
    }

    /// Whether its resources are still in use.
    pub fn holds_room(&self) -> bool {
        self.state != MemberState::Gone
    }
}
