//! What is known of one gang member.

use crate::platform::TaskState;

/// A member of the current attempt.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct Member {
    /// State last heard; `None` before the first answer.
    pub state: Option<TaskState>,
    /// Whether its endpoint restarted, forgot it, or let its lease lapse: it does not run and never will again.
    pub lost: bool,
}

impl Member {
    /// Whether it neither runs nor can start.
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

    /// Whether it is certain that it never ran.
    pub fn never_ran(&self) -> bool {
        !self.lost
            && matches!(
                self.state,
                Some(TaskState::Refused | TaskState::Stopped { ran: false, .. })
            )
    }

    /// Whether it is certain that it ran.
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

    /// Whether it holds its place and waits for its release.
    pub fn is_held(&self) -> bool {
        !self.lost && self.state == Some(TaskState::Held)
    }
}
