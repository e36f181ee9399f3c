//! What has to be stored before orders go out.

use std::sync::Arc;

use super::Start;
use crate::graph::{JobRecord, Phase, Submission};

/// State of one job to store.
#[derive(Debug, Clone, PartialEq)]
pub struct JobWrite {
    /// Id of the job.
    pub id: Arc<str>,
    /// What was accepted, if it is not stored beside the records yet.
    pub submission: Option<Submission>,
    /// Its record.
    pub record: JobRecord,
    /// What callers are told.
    pub phase: Phase,
    /// Team that may ask for it.
    pub team: String,
}

/// Changes that are stored together, and what may happen once they are.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Jobs to store.
    pub jobs: Vec<JobWrite>,
    /// Starts to release.
    pub starts: Vec<Start>,
    /// Ends that may be forgotten, by endpoint and life.
    pub seen: Vec<(Arc<str>, u64, u64)>,
    /// All changes up to now are in it.
    pub complete: bool,
}

impl Snapshot {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.starts.is_empty() && self.seen.is_empty()
    }
}
