//! A change to a job's row, its seats and its place in the queue.

use std::collections::BTreeSet;

use crate::job::JobRow;
use crate::name::EndpointName;
use crate::plan::EndKind;
use crate::platform::Step;

/// Change to a job's seats in the endpoint rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SeatChange {
    /// Leaves them as they are.
    Keep,
    /// Takes the seats of the new row.
    Take,
    /// Frees the seats on these endpoints.
    Free(BTreeSet<EndpointName>),
}

/// A change to commit. It is computed from the state in memory and may be dropped until it is committed.
#[derive(Debug, Clone)]
pub(super) struct JobChange {
    pub step: Step,
    /// New content of the row.
    pub row: JobRow,
    pub seats: SeatChange,
    /// Whether the job is queued afterwards.
    pub queued: bool,
    /// Endpoint that the policy should blame or avoid.
    pub endpoint: Option<EndpointName>,
    /// How the attempt ended, for the policy.
    pub end: Option<EndKind>,
}

impl JobChange {
    /// A change that affects neither seats nor queue.
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
