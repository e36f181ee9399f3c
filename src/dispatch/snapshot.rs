//! Changes that have to be stored before the orders that depend on them are released.

use std::sync::Arc;

use super::{LeaseBound, Start};
use crate::graph::{JobRecord, Phase, Submission};

/// State of one job to store.
#[derive(Debug, Clone, PartialEq)]
pub struct JobWrite {
    /// Id of the job.
    pub id: Arc<str>,
    /// The submission, if it is not stored along with the record yet.
    pub submission: Option<Submission>,
    /// Its record.
    pub record: JobRecord,
    /// Phase that callers see.
    pub phase: Phase,
    /// The phase differs from the stored one.
    pub phase_changed: bool,
    /// Position of the job in the queue of changed jobs.
    pub(super) position: u64,
    /// Team whose callers may look the job up.
    pub team: String,
}

/// Changes that are stored in one transaction, and what may happen once they are.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Jobs to store.
    pub jobs: Vec<JobWrite>,
    /// Starts to release once the snapshot is stored.
    pub starts: Vec<Start>,
    /// Endpoint, incarnation and number of the last end of a run whose consequences the snapshot covers.
    pub last_ends: Vec<(Arc<str>, u64, u64)>,
    /// All bounds of leases on silent endpoints, if they have changed; times are those of the dispatcher's clock.
    pub lease_bounds: Option<Vec<LeaseBound>>,
    /// Set if the lead is released: the time by which all leases have ended on endpoints without a bound in `lease_bounds`.
    pub common_bound: Option<u64>,
    /// Set if the commit has to raise the fencing token, because an endpoint has restarted.
    pub raises_fence: bool,
}

impl Snapshot {
    /// Whether there is nothing to store but bounds of leases.
    pub fn has_only_bounds(&self) -> bool {
        self.jobs.is_empty() && self.starts.is_empty() && self.last_ends.is_empty() && !self.raises_fence
    }

    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.has_only_bounds() && self.lease_bounds.is_none()
    }
}
