//! A change to a job's row and what goes with it.

use std::collections::BTreeSet;

use crate::job::JobRow;
use crate::name::EndpointName;
use crate::plan::EndKind;
use crate::platform::Step;

/// What happens to a job's seats in the endpoint rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SeatChange {
    /// They stay as they are.
    Keep,
    /// Those of the new row are taken.
    Take,
    /// Those on these endpoints are freed.
    Free(BTreeSet<EndpointName>),
}

/// A change to commit. It is computed from the state in memory and may be thrown away at any time before that.
#[derive(Debug, Clone)]
pub(super) struct JobChange {
    pub step: Step,
    /// The row as it will be.
    pub row: JobRow,
    pub seats: SeatChange,
    /// Whether the job waits in the queue afterwards.
    pub queued: bool,
    /// Endpoint that the decision core is to blame or avoid.
    pub endpoint: Option<EndpointName>,
    /// How the attempt ended, for the decision core.
    pub end: Option<EndKind>,
}

impl JobChange {
    /// A change that leaves the seats and the queue alone.
    pub fn new(step: Step, row: JobRow) -> Self {
        Self {
            step,
            row,
            seats: SeatChange::Keep,
            queued: false,
            endpoint: None,
            end: None,
        }
    }
}
