//! What the running leader shares between its tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;

use super::Strain;
use super::ended_jobs::Retired;
use crate::dispatch::Dispatcher;
use crate::net::SteadyClock;

/// State that the tasks of a leader share.
#[derive(Debug)]
pub(super) struct Progress {
    pub dispatcher: RefCell<Dispatcher>,
    pub fence: u64,
    pub clock: SteadyClock,
    /// Something happened that the main loop should look at.
    pub wake: Notify,
    /// Set when another instance has taken the lead.
    pub deposed: Cell<bool>,
    /// Endpoints whose hold loop runs.
    pub held: RefCell<BTreeSet<Arc<str>>>,
    /// Jobs that were taken in; a feed that starts anew lists them again.
    pub known: RefCell<BTreeSet<Arc<str>>>,
    /// When the last renewal was stored, in milliseconds.
    pub renewed: Cell<u64>,
    /// A larger instance that is to lead instead.
    pub successor: RefCell<Option<Arc<str>>>,
    /// Jobs that have ended.
    pub retired: RefCell<Retired>,
    /// Jobs whose rows in the leader's partition are to go with the next transaction.
    pub leaving: RefCell<Vec<Arc<str>>>,
    /// Whether the process gets the processor in time.
    pub strain: Cell<Strain>,
}

impl Progress {
    pub fn new(dispatcher: Dispatcher, fence: u64, clock: SteadyClock) -> Rc<Self> {
        Rc::new(Self {
            dispatcher: RefCell::new(dispatcher),
            fence,
            clock,
            wake: Notify::new(),
            deposed: Cell::new(false),
            held: RefCell::default(),
            known: RefCell::default(),
            renewed: Cell::new(clock.now()),
            successor: RefCell::default(),
            retired: RefCell::default(),
            leaving: RefCell::default(),
            strain: Cell::default(),
        })
    }

    /// Whether the lead is to be given up: to a larger instance, or because this one stops.
    pub fn gives_way(&self, stopping: bool) -> bool {
        stopping || self.successor.borrow().is_some()
    }

    /// Notes that another instance leads.
    pub fn depose(&self, why: &str) {
        if !self.deposed.replace(true) {
            log::warn!(fence = self.fence, why; "lead lost");
        }
        self.wake.notify_one();
    }

    /// Whether this leader may still renew leases. A new one counts on the old one's silence after this time.
    pub fn reigns(&self) -> bool {
        let reign_ms = self.dispatcher.borrow().tuning().leader_lease_ms;
        !self.deposed.get() && self.clock.now().saturating_sub(self.renewed.get()) < reign_ms
    }
}
