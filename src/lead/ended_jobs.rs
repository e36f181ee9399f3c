//! Ended jobs whose rows wait for removal.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Most jobs whose rows are removed at a time; each takes two rows of a transaction in its partition of the intake
/// table.
const BATCH_JOBS_MAX: usize = 25;

/// Ended jobs, earliest first. A new leader counts the retention time from its takeover, so that rows are kept longer
/// than it, never shorter.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    /// Time of the end and id.
    by_end: VecDeque<(u64, Arc<str>)>,
    ids: BTreeSet<Arc<str>>,
}

impl EndedJobs {
    /// Adds a job that ended at `now`; one that is listed keeps its time.
    pub fn add(&mut self, id: &Arc<str>, now: u64) {
        if self.ids.insert(Arc::clone(id)) {
            self.by_end.push_back((now, Arc::clone(id)));
        }
    }

    /// Removes and returns one batch of the jobs that ended at least `retention_ms` ago.
    pub fn take_expired(&mut self, retention_ms: u64, now: u64) -> Vec<Arc<str>> {
        let mut expired = Vec::new();
        while expired.len() < BATCH_JOBS_MAX {
            let Some((ended_at, _)) = self.by_end.front() else {
                break;
            };
            if ended_at + retention_ms > now {
                break;
            }
            let Some((_, id)) = self.by_end.pop_front() else { break };
            self.ids.remove(&id);
            expired.push(id);
        }
        expired
    }
}
