//! Requests that wait for the end of a job.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::name::JobId;

/// Wakes requests when a hint says that their job has ended. A missed hint costs time only: every waiter also looks
/// again by itself.
#[derive(Debug, Default)]
pub struct Waiters(Mutex<BTreeMap<JobId, Vec<flume::Sender<()>>>>);

impl Waiters {
    /// A receiver that is woken when the job ends.
    pub fn subscribe(&self, job: &JobId) -> flume::Receiver<()> {
        let (sender, receiver) = flume::bounded(1);
        let mut waiters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = waiters.entry(job.clone()).or_default();
        senders.retain(|sender| !sender.is_disconnected());
        senders.push(sender);
        receiver
    }

    /// Wakes all that wait for a job.
    pub fn wake(&self, job: &JobId) {
        let senders = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(job);
        for sender in senders.into_iter().flatten() {
            // A waiter that has gone away needs no wake-up.
            let _ = sender.try_send(());
        }
    }

    /// Forgets a job for which nobody waits any more.
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
