//! Jobs whose state has changed since it was last stored, in the order in which they changed.
//!
//! The order gives every job its turn under a load that changes others all the time. It also tells which changes are
//! stored: once all jobs that were changed before some moment have been stored, so has everything that happened by then.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Jobs whose state has to be stored.
#[derive(Debug, Default)]
pub(super) struct DirtyQueue {
    next: u64,
    ids: BTreeMap<u64, Arc<str>>,
    positions: BTreeMap<Arc<str>, u64>,
}

impl DirtyQueue {
    /// Adds a job, unless it is in the queue already.
    pub fn insert(&mut self, id: Arc<str>) {
        if self.positions.contains_key(&id) {
            return;
        }
        self.ids.insert(self.next, Arc::clone(&id));
        self.positions.insert(id, self.next);
        self.next += 1;
    }

    /// Returns a job to the position that it had when it was taken.
    pub fn restore(&mut self, id: Arc<str>, position: u64) {
        if let Some(later) = self.positions.insert(Arc::clone(&id), position) {
            self.ids.remove(&later);
        }
        self.ids.insert(position, id);
    }

    /// Takes the job that has been waiting longest, with its position.
    pub fn pop_first(&mut self) -> Option<(u64, Arc<str>)> {
        let (position, id) = self.ids.pop_first()?;
        self.positions.remove(&id);
        Some((position, id))
    }

    /// Whether a job is in the queue.
    pub fn contains(&self, id: &str) -> bool {
        self.positions.contains_key(id)
    }

    /// Number of jobs in the queue.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Position of the next job that is added.
    pub fn end(&self) -> u64 {
        self.next
    }

    /// Position before which no job is left.
    pub fn start(&self) -> u64 {
        self.ids.first_key_value().map_or(self.next, |(position, _)| *position)
    }
}
