//! One simulated instance.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use standin::fake::{Link, Platform};
use yuccaridge::instance::{Core, CoreOptions};
use yuccaridge::name::InstanceName;
use yuccaridge::plan::Weights;
use yuccaridge::platform::{Endpoints, RateLimitedTable, Table, TableBudget};
use yuccaridge::time::{Clock, Millis};

/// Time after which the load balancer sends no more requests to a draining instance.
const BALANCER_DELAY: Millis = Millis::from_secs(1);
/// Time limit of a drain; requests still in flight are then cut off.
const DRAIN_MAX: Millis = Millis::from_secs(60);

/// Run state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    Up,
    Draining { since: Millis },
    Left,
    Killed,
}

/// An instance with its link to the platform and its run state.
#[derive(Debug)]
pub struct Instance {
    pub name: InstanceName,
    pub core: Core,
    pub link: Arc<Link>,
    state: Mutex<InstanceState>,
    /// Whether a step of this instance is in progress further up the call stack.
    pub stepping: AtomicBool,
    pub frozen: AtomicBool,
    /// Whether a drain ends without waiting for requests in flight.
    pub skips_in_flight_wait: AtomicBool,
    /// Number of calls in progress.
    pub in_flight: AtomicU32,
}

/// Builds the table and endpoints of an instance from its link; a test may wrap them.
pub type Wiring = fn(&Arc<Link>, &Arc<Platform>) -> (Arc<dyn Table>, Arc<dyn Endpoints>);

/// Uses the link directly.
pub fn direct(link: &Arc<Link>, _platform: &Arc<Platform>) -> (Arc<dyn Table>, Arc<dyn Endpoints>) {
    (Arc::clone(link) as _, Arc::clone(link) as _)
}

impl Instance {
    pub fn new(platform: &Arc<Platform>, index: u16, wiring: Wiring) -> Self {
        let link = Link::new(platform);
        let name = InstanceName::new(format!("i{index}")).expect("a valid name");
        let (table, endpoints) = wiring(&link, platform);
        let core = Core::new(CoreOptions {
            instance: name.clone(),
            boot: "1".to_owned(),
            peer: ([127, 0, 0, 1], 7000 + index).into(),
            domain: "d0".parse().expect("a valid name"),
            weights: Weights::default(),
            seed: u64::from(index),
            table,
            objects: Arc::clone(&link) as _,
            listing: Arc::clone(&link) as _,
            endpoints,
        });
        Self {
            name,
            core,
            link,
            state: Mutex::new(InstanceState::Up),
            stepping: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            skips_in_flight_wait: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
        }
    }

    pub fn state(&self) -> InstanceState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_state(&self, state: InstanceState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    pub fn kill(&self) {
        if self.is_up() {
            self.set_state(InstanceState::Killed);
        }
    }

    pub fn drain(&self, now: Millis) {
        if self.state() == InstanceState::Up {
            self.set_state(InstanceState::Draining { since: now });
            self.core.session.set_draining();
        }
    }

    /// Whether it is running, draining or not.
    pub fn is_up(&self) -> bool {
        !matches!(self.state(), InstanceState::Left | InstanceState::Killed)
    }

    /// Whether the load balancer sends requests to it.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        match self.state() {
            InstanceState::Up => true,
            InstanceState::Draining { since } => now.since(since) < BALANCER_DELAY,
            InstanceState::Left | InstanceState::Killed => false,
        }
    }

    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Ends a drain once no call is in flight and no pool is held, or when the time limit has passed.
    pub fn leave_if_due(&self, now: Millis) {
        let InstanceState::Draining { since } = self.state() else {
            return;
        };
        let elapsed = now.since(since);
        let has_requests =
            self.in_flight.load(Ordering::Relaxed) > 0 && !self.skips_in_flight_wait.load(Ordering::Relaxed);
        let busy = has_requests || self.core.pools.count() > 0;
        if elapsed < BALANCER_DELAY || (busy && elapsed < DRAIN_MAX) {
            return;
        }
        if self.core.session.leave(now).is_ok() || elapsed >= DRAIN_MAX {
            self.set_state(InstanceState::Left);
        }
    }
}

/// The platform's clock, as a value that can be owned.
#[derive(Debug)]
struct SimulationClock(Arc<Platform>);

impl Clock for SimulationClock {
    fn now(&self) -> Millis {
        self.0.clock.now()
    }
}

/// Limits each instance to its share of the table budget, as the daemon does.
pub fn limited(link: &Arc<Link>, platform: &Arc<Platform>) -> (Arc<dyn Table>, Arc<dyn Endpoints>) {
    let clock = Arc::new(SimulationClock(Arc::clone(platform)));
    let table = RateLimitedTable::new(Arc::clone(link), clock, TableBudget::default(), 3);
    (Arc::new(table), Arc::clone(link) as _)
}
