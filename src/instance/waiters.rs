//! Long polls that wait for the end of a job.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::name::JobId;

/// Wakes long polls when a hint says that their job has ended. A missed hint only costs time: every waiter also polls
/// by itself.
#[derive(Debug, Default)]
pub struct Waiters(Mutex<BTreeMap<JobId, Vec<flume::Sender<()>>>>);

impl Waiters {
    /// Returns a receiver that gets a message when the job ends.
    pub fn subscribe(&self, job: &JobId) -> flume::Receiver<()> {
        let (sender, receiver) = flume::bounded(1);
        let mut waiters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = waiters.entry(job.clone()).or_default();
        senders.retain(|sender| !sender.is_disconnected());
        senders.push(sender);
        receiver
    }

    /// Wakes all waiters of a job.
    pub fn wake(&self, job: &JobId) {
        let senders = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(job);
        for sender in senders.into_iter().flatten() {
            // A disconnected waiter needs no wake-up.
            let _ = sender.try_send(());
        }
    }

    /// Removes disconnected waiters of a job, and the job if none is left.
    pub fn prune(&self, job: &JobId) {
        let mut waiters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(senders) = waiters.get_mut(job) {
            senders.retain(|sender| !sender.is_disconnected());
            if senders.is_empty() {
                waiters.remove(job);
            }
        }
    }
}
