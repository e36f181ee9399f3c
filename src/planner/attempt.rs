//! Current attempt of a job.

use super::member::Member;
use crate::name::EndpointName;
use crate::time::Millis;

/// Why an attempt is being stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StopCause {
    /// The caller cancelled the job.
    Cancelled,
    /// The policy needs its seats.
    Preempted,
    /// A member could not be prepared, or not in time.
    Unprepared { endpoint: Option<EndpointName> },
    /// A member failed.
    Failed { endpoint: EndpointName, reason: String },
    /// A member was lost, or did not start in time.
    Lost { endpoint: EndpointName },
}

/// Desired outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Goal {
    Run,
    Stop(StopCause),
}

/// In-memory state of an attempt; the job's row holds what is committed.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub goal: Goal,
    pub members: Vec<Member>,
    /// Start of the current phase; the timeouts for preparing and releasing count from here.
    pub phase_since: Millis,
    /// Whether the policy was notified of the start of the attempt.
    pub start_announced: bool,
}

impl Attempt {
    /// An attempt with all member states unknown.
    pub fn new(goal: Goal, members: usize, now: Millis) -> Self {
        Self {
            goal,
            members: vec![Member::default(); members],
            phase_since: now,
            start_announced: false,
        }
    }

    /// Stops the attempt, unless it is already being stopped. A cancellation replaces any other cause.
    pub fn stop(&mut self, cause: StopCause) {
        if self.goal == Goal::Run || cause == StopCause::Cancelled {
            self.goal = Goal::Stop(cause);
        }
    }

    /// Whether no member runs or can still start.
    pub fn is_terminal(&self) -> bool {
        self.members.iter().all(Member::is_terminal)
    }
}
