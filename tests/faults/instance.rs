//! One instance of a world.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use standin::fake::{Link, Platform};
use yuccaridge::instance::{Core, CoreOptions};
use yuccaridge::name::InstanceName;
use yuccaridge::plan::Weights;
use yuccaridge::platform::{Endpoints, RateLimitedTable, Table, TableBudget};
use yuccaridge::time::{Clock, Millis};

/// Time after which the load balancer sends nothing more to a draining instance.
const BALANCER_DELAY: Millis = Millis::from_secs(1);
/// Time that a drain has; requests still in flight then are cut off.
const DRAIN_MAX: Millis = Millis::from_secs(60);

/// What became of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Up,
    Draining { since: Millis },
    Left,
    Killed,
}

/// An instance, its link, and whether it goes on.
#[derive(Debug)]
pub struct Node {
    pub name: InstanceName,
    pub core: Core,
    pub link: Arc<Link>,
    state: Mutex<State>,
    /// Whether its own step is under way further up in the call stack.
    pub stepping: AtomicBool,
    pub frozen: AtomicBool,
    /// Whether a drain does not wait for requests in flight.
    pub hasty: AtomicBool,
    /// Requests of callers that it carries out.
    pub requests: AtomicU32,
}

/// How an instance reaches the table and the endpoints; a test may put something in between.
pub type Wiring = fn(&Arc<Link>, &Arc<Platform>) -> (Arc<dyn Table>, Arc<dyn Endpoints>);

/// Each instance goes straight to its link.
pub fn direct(link: &Arc<Link>, _platform: &Arc<Platform>) -> (Arc<dyn Table>, Arc<dyn Endpoints>) {
    (Arc::clone(link) as _, Arc::clone(link) as _)
}

impl Node {
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
            state: Mutex::new(State::Up),
            stepping: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            hasty: AtomicBool::new(false),
            requests: AtomicU32::new(0),
        }
    }

    pub fn state(&self) -> State {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, state: State) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    pub fn kill(&self) {
        if self.is_up() {
            self.set(State::Killed);
        }
    }

    pub fn drain(&self, now: Millis) {
        if self.state() == State::Up {
            self.set(State::Draining { since: now });
            self.core.session.set_draining();
        }
    }

    /// Whether it runs, draining or not.
    pub fn is_up(&self) -> bool {
        !matches!(self.state(), State::Left | State::Killed)
    }

    /// Whether the load balancer sends requests to it.
    pub fn is_open(&self, now: Millis) -> bool {
        match self.state() {
            State::Up => true,
            State::Draining { since } => now.since(since) < BALANCER_DELAY,
            State::Left | State::Killed => false,
        }
    }

    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Goes on with a drain: leaves when nothing is in flight and no pool is held, or when the time is up.
    pub fn leave_if_due(&self, now: Millis) {
        let State::Draining { since } = self.state() else {
            return;
        };
        let spent = now.since(since);
        let asked = self.requests.load(Ordering::Relaxed) > 0 && !self.hasty.load(Ordering::Relaxed);
        let busy = asked || self.core.pools.count() > 0;
        if spent < BALANCER_DELAY || (busy && spent < DRAIN_MAX) {
            return;
        }
        if self.core.session.leave(now).is_ok() || spent >= DRAIN_MAX {
            self.set(State::Left);
        }
    }
}

/// The platform's clock for things that own one.
#[derive(Debug)]
struct WorldClock(Arc<Platform>);

impl Clock for WorldClock {
    fn now(&self) -> Millis {
        self.0.clock.now()
    }
}

/// Each instance has its share of the table, as in the daemon.
pub fn limited(link: &Arc<Link>, platform: &Arc<Platform>) -> (Arc<dyn Table>, Arc<dyn Endpoints>) {
    let clock = Arc::new(WorldClock(Arc::clone(platform)));
    let table = RateLimitedTable::new(Arc::clone(link), clock, TableBudget::default(), 3);
    (Arc::new(table), Arc::clone(link) as _)
}
