//! The current attempt of a job.

use super::member::Member;
use crate::name::EndpointName;
use crate::time::Millis;

/// Why an attempt is to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StopCause {
    /// Its caller wants it ended.
    Cancelled,
    /// The decision core wants its seats.
    Preempted,
    /// A member could not be prepared.
    Unprepared { endpoint: Option<EndpointName> },
    /// A member failed.
    Failed { endpoint: EndpointName, reason: String },
    /// A member's endpoint was lost, or the member did not start in time.
    Lost { endpoint: EndpointName },
}

/// What an attempt is to come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Goal {
    Run,
    Stop(StopCause),
}

/// An attempt in memory; the job's row says what is certain.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub goal: Goal,
    pub members: Vec<Member>,
    /// Start of the present phase; bounds the time to prepare and to release.
    pub phase_since: Millis,
    /// Whether the decision core knows that it started.
    pub start_announced: bool,
}

impl Attempt {
    /// An attempt of which nothing was heard yet.
    pub fn new(goal: Goal, members: usize, now: Millis) -> Self {
        Self {
            goal,
            members: vec![Member::default(); members],
            phase_since: now,
            start_announced: false,
        }
    }

    /// Makes the attempt stop, unless it already stops. A caller's wish replaces other causes.
    pub fn stop(&mut self, cause: StopCause) {
        if self.goal == Goal::Run || cause == StopCause::Cancelled {
            self.goal = Goal::Stop(cause);
        }
    }

    /// Whether no member runs or can start.
    pub fn is_terminal(&self) -> bool {
        self.members.iter().all(Member::is_terminal)
    }
}
