//! Jobs that have ended, and when their rows may go.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Jobs whose rows are removed in one go; each takes two rows of a transaction in the partition of its callers.
const BATCH: usize = 25;

/// Jobs that have ended, the longest ago first. A new leader counts from its takeover, so that rows stay longer rather than
/// shorter.
#[derive(Debug, Default)]
pub(super) struct Retired {
    order: VecDeque<(u64, Arc<str>)>,
    members: BTreeSet<Arc<str>>,
}

impl Retired {
    /// Notes that a job has ended for good at `now`.
    pub fn add(&mut self, id: &Arc<str>, now: u64) {
        if self.members.insert(Arc::clone(id)) {
            self.order.push_back((now, Arc::clone(id)));
        }
    }

    /// Takes jobs that ended `keep_ms` ago or earlier, at most a batch.
    pub fn take(&mut self, retention_ms: u64, now: u64) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        while due.len() < BATCH {
            let Some((since, _)) = self.order.front() else { break };
            if since + retention_ms > now {
                break;
            }
            let Some((_, id)) = self.order.pop_front() else { break };
            self.members.remove(&id);
            due.push(id);
        }
        due
    }
}
