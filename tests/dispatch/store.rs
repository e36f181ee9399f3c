//! Fixture: the store of the soak, with the records of jobs and the ledger of fencing tokens.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccaridge::dispatch::{JobWrite, LeaseBound};

use crate::trace;

/// A transaction of a leader.
#[derive(Clone)]
pub struct Write {
    /// Version of the store that it expects.
    pub version: u64,
    /// Fencing token after it.
    pub fence: u64,
    pub jobs: Vec<JobWrite>,
    pub lease_bounds: Option<Vec<LeaseBound>>,
    /// Common bound of a release of the lead.
    pub common_bound: Option<u64>,
}

/// The stored state.
#[derive(Default)]
pub struct FakeStore {
    /// Number of the last transaction.
    pub version: u64,
    /// Fencing token of the ledger.
    pub fence: u64,
    pub jobs: BTreeMap<Arc<str>, JobWrite>,
    /// Bounds of leases, the common one, and the fencing token with which they were stored.
    pub lease_bounds: (u64, Vec<LeaseBound>, Option<u64>),
}

impl FakeStore {
    /// Applies a transaction unless another one came first; returns whether it was applied.
    pub fn apply(&mut self, write: &Write, now: u64) -> bool {
        if write.version != self.version {
            return false;
        }
        self.version += 1;
        self.fence = write.fence;
        if let Some(bounds) = &write.lease_bounds {
            self.lease_bounds = (write.fence, bounds.clone(), write.common_bound);
        }
        for job in &write.jobs {
            trace::event(
                &format!("{}.", job.id),
                now,
                format_args!("stored as {:?}, {:?}", job.phase, job.record.units),
            );
            self.jobs.insert(Arc::clone(&job.id), job.clone());
        }
        true
    }
}
