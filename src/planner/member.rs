//! State of one gang member.

use crate::platform::TaskState;

/// A member of the current attempt.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct Member {
    /// Last known state; `None` before the first answer.
    pub state: Option<TaskState>,
    /// Whether its endpoint restarted or no longer knows it, or its lease lapsed: it neither runs nor can start again.
    pub lost: bool,
}

impl Member {
    /// Whether it does not run and cannot start.
    pub fn is_terminal(&self) -> bool {
        self.lost
            || matches!(
                self.state,
                Some(
                    TaskState::Finished { .. }
                        | TaskState::Failed { .. }
                        | TaskState::Stopped { .. }
                        | TaskState::Refused
                )
            )
    }

    /// Whether it is known never to have run.
    pub fn never_ran(&self) -> bool {
        !self.lost
            && matches!(
                self.state,
                Some(TaskState::Refused | TaskState::Stopped { ran: false, .. })
            )
    }

    /// Whether it is known to have run.
    pub fn did_run(&self) -> bool {
        matches!(
            self.state,
            Some(
                TaskState::Running
                    | TaskState::Stopping
                    | TaskState::Finished { .. }
                    | TaskState::Failed { .. }
                    | TaskState::Stopped { ran: true, .. }
            )
        )
    }

    /// Whether it is prepared and waits for its release.
    pub fn is_held(&self) -> bool {
        !self.lost && self.state == Some(TaskState::Held)
    }
}
