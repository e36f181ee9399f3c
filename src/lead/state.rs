//! State shared by the tasks of the leader.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;

use super::OverloadDetector;
use super::ended_jobs::EndedJobs;
use super::load::LoadMeter;
use crate::dispatch::Dispatcher;
use crate::metric::InstanceMetrics;
use crate::net::SteadyClock;

/// State shared by the tasks of the leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub dispatcher: RefCell<Dispatcher>,
    /// Fencing token with which this instance took over.
    pub first_fence: u64,
    pub clock: SteadyClock,
    /// Wakes the main loop.
    pub wake: Notify,
    /// Notified when a transaction has been stored.
    pub stored: Notify,
    /// Set when another instance has taken over.
    pub leadership_lost: Cell<bool>,
    /// Endpoints whose hold loop runs, with the fencing token of the loop's orders.
    pub held_endpoints: RefCell<BTreeSet<(Arc<str>, u64)>>,
    /// Jobs whose rows have been read; a restarted change feed lists them again.
    pub known_jobs: RefCell<BTreeSet<Arc<str>>>,
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
            stored: Notify::new(),
            leadership_lost: Cell::new(false),
            held_endpoints: RefCell::default(),
            known_jobs: RefCell::default(),
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
