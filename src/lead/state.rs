//! State shared by the tasks of the leader.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;

use super::OverloadDetector;
use super::ended_jobs::EndedJobs;
use super::load::LoadMeter;
use super::tables::intake_partition;
use super::{StoredBound, StoredBounds};
use crate::dispatch::{Dispatcher, LeaseBound};
use crate::metric::InstanceMetrics;
use crate::net::SteadyClock;

/// How long a reading of the clock of the store is used although a later one is there, in milliseconds; in that time clocks
/// that differ in speed by 1% drift apart by less than the margin of a lease.
const STORE_CLOCK_KEPT_MS: u64 = 10_000;

/// State shared by the tasks of the leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub dispatcher: RefCell<Dispatcher>,
    /// Fencing token with which this instance took over.
    pub first_fence: u64,
    pub clock: SteadyClock,
    /// Wakes the main loop.
    pub wake: Notify,
    /// Clock of the store in a recent answer, and the local time before that call, both in milliseconds.
    pub store_clock: Cell<Option<(u64, u64)>>,
    /// Notified when a transaction has been stored.
    pub stored: Notify,
    /// Set when another instance has taken over.
    pub leadership_lost: Cell<bool>,
    /// Endpoints whose hold loop runs, with the fencing token of the loop's orders.
    pub held_endpoints: RefCell<BTreeSet<(Arc<str>, u64)>>,
    /// Jobs whose rows have been read; a restarted change feed lists them again.
    pub known_jobs: RefCell<BTreeSet<Arc<str>>>,
    /// Jobs whose cancellations have been read, perhaps before the jobs themselves.
    pub cancelled_jobs: RefCell<BTreeSet<Arc<str>>>,
    /// Number of reads under way of each partition of the intake table that may have cancellations which the change feed
    /// doesn't deliver.
    pub partition_reads: RefCell<BTreeMap<Arc<str>, usize>>,
    /// When the undecodable entry of an endpoint was last logged, in milliseconds.
    pub rejected_entries: RefCell<BTreeMap<Arc<str>, u64>>,
    /// Versions at which the intake rows of ended jobs were removed, by job; a read that began before may still return
    /// such a row.
    pub removed_at: RefCell<BTreeMap<Arc<str>, u64>>,
    /// When the last transaction that confirmed leadership was sent, in milliseconds. Another instance may have taken
    /// over before the answer arrived.
    pub confirmed_at: Cell<u64>,
    /// Larger instance to hand leadership over to.
    pub successor: RefCell<Option<Arc<str>>>,
    /// Ended jobs whose rows are kept for the retention time.
    pub ended_jobs: RefCell<EndedJobs>,
    /// Jobs whose rows in the leader's partition the next transactions remove.
    pub jobs_to_remove: RefCell<Vec<Arc<str>>>,
    /// Whether the process is short of processor time.
    pub overload: Cell<OverloadDetector>,
    pub load: LoadMeter,
}

impl LeaderState {
    pub fn new(
        mut dispatcher: Dispatcher,
        fence: u64,
        clock: SteadyClock,
        confirmed_at: u64,
        metrics: Rc<InstanceMetrics>,
    ) -> Rc<Self> {
        dispatcher.raise_fence(fence, clock.now());
        Rc::new(Self {
            dispatcher: RefCell::new(dispatcher),
            first_fence: fence,
            clock,
            wake: Notify::new(),
            store_clock: Cell::default(),
            stored: Notify::new(),
            leadership_lost: Cell::new(false),
            held_endpoints: RefCell::default(),
            known_jobs: RefCell::default(),
            cancelled_jobs: RefCell::default(),
            partition_reads: RefCell::default(),
            rejected_entries: RefCell::default(),
            removed_at: RefCell::default(),
            confirmed_at: Cell::new(confirmed_at),
            successor: RefCell::default(),
            ended_jobs: RefCell::default(),
            jobs_to_remove: RefCell::default(),
            overload: Cell::default(),
            load: LoadMeter::new(metrics),
        })
    }

    /// Starts no job of a partition until it has been read, and all earlier reads of it have ended.
    pub fn await_read(&self, partition: &Arc<str>) {
        *self
            .partition_reads
            .borrow_mut()
            .entry(Arc::clone(partition))
            .or_default() += 1;
        self.dispatcher
            .borrow_mut()
            .suspend_jobs(|id| intake_partition(id) == *partition);
    }

    /// Records that a read of a partition has ended, and its rows are applied.
    pub fn finish_read(&self, partition: &Arc<str>) {
        let mut reads = self.partition_reads.borrow_mut();
        let Some(count) = reads.get_mut(partition) else { return };
        *count -= 1;
        if *count > 0 {
            return;
        }
        reads.remove(partition);
        self.dispatcher
            .borrow_mut()
            .resume_jobs(|id| intake_partition(id) == *partition);
        self.wake.notify_one();
    }

    /// Notes the clock of the store in the answer to a call that was sent at `sent_at`. An answer that waited for a change
    /// tells it late by that wait, so a better one is kept for a while.
    pub fn note_store_clock(&self, clock_ms: u64, sent_at: u64) {
        let kept = self.store_clock.get().is_some_and(|(known_ms, at)| {
            let age = sent_at.saturating_sub(at);
            age < STORE_CLOCK_KEPT_MS && known_ms.saturating_add(age) <= clock_ms
        });
        if !kept {
            self.store_clock.set(Some((clock_ms, sent_at)));
        }
    }

    /// A local time on the clock of the store, if that clock is known. It counts from before the call in which it was read, so
    /// the time is late rather than early.
    pub fn on_store_clock(&self, time: u64) -> Option<u64> {
        let (clock_ms, sent_at) = self.store_clock.get()?;
        Some(clock_ms.saturating_add(time).saturating_sub(sent_at))
    }

    /// Stored form of bounds, with their times on the clock of the store.
    pub fn stored_bounds(&self, bounds: &[LeaseBound], common_end: Option<u64>, fence: u64) -> StoredBounds {
        if self.store_clock.get().is_none() {
            return StoredBounds::default();
        }
        let on_store_clock = |time| self.on_store_clock(time).unwrap_or(u64::MAX);
        let bounds = bounds.iter().map(|bound| StoredBound {
            endpoint: bound.endpoint.to_string(),
            born: bound.born,
            ends_at: on_store_clock(bound.ends_at),
        });
        StoredBounds {
            fence,
            bounds: bounds.collect(),
            common_end: common_end.map(on_store_clock),
        }
    }

    /// Bounds of the former leader and the common one, on the local clock, if no leader has come between; `answered_at` is
    /// the local time after the store read its clock.
    pub fn restored_bounds(
        &self,
        stored: &StoredBounds,
        clock_ms: u64,
        answered_at: u64,
    ) -> (Vec<LeaseBound>, Option<u64>) {
        if stored.fence.checked_add(1) != Some(self.first_fence) {
            return (Vec::new(), None);
        }
        let on_local_clock = |time: u64| answered_at.saturating_add(time).saturating_sub(clock_ms);
        let bounds = stored.bounds.iter().map(|bound| LeaseBound {
            endpoint: Arc::from(&*bound.endpoint),
            born: bound.born,
            ends_at: on_local_clock(bound.ends_at),
        });
        (bounds.collect(), stored.common_end.map(on_local_clock))
    }

    /// Whether leadership is to be released: to a larger instance, or because this one stops.
    pub fn should_hand_over(&self, stopping: bool) -> bool {
        stopping || self.successor.borrow().is_some()
    }

    /// Records that another instance leads; `why` says how this became known.
    pub fn lose_leadership(&self, why: &str) {
        if !self.leadership_lost.replace(true) {
            log::warn!(fence = self.fence(), why; "lost leadership");
        }
        self.wake.notify_one();
    }

    /// Fencing token as last stored.
    pub fn fence(&self) -> u64 {
        self.dispatcher.borrow().fence()
    }

    /// Whether this leader may still renew leases. A new leader relies on its predecessor sending no renewals later
    /// than `leader_lease_ms` after it last confirmed its leadership.
    pub fn is_leadership_confirmed(&self) -> bool {
        let lease_ms = self.dispatcher.borrow().tuning().leader_lease_ms;
        !self.leadership_lost.get() && self.clock.now().saturating_sub(self.confirmed_at.get()) < lease_ms
    }
}
