//! A platform, its endpoints, three instances and their callers, stepped by hand in virtual time.
//!
//! A hook on each link tells the world of every point that a request passes. An instance that is frozen, or waits for a
//! slow answer, is one whose hook lets the rest of the world go on in the middle of its request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use standin::endpoint::Endpoint;
use standin::fake::{Fault, Platform, Point, Side};
use yuccaridge::job::{JobRow, Phase};
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::platform::{ListedEndpoint, Presence, Step};
use yuccaridge::row::{key, scan_all};
use yuccaridge::time::{Clock, Millis};

use super::actor::{Actor, Caller};
use super::evidence::{Evidence, Told, Use, Wanted};
use super::fault::Injector;
use super::instance::{Node, Wiring};

/// Time by which the world moves on.
pub const TICK: Millis = Millis(100);
/// Time between two rounds of hints.
const ANNOUNCE_EVERY: Millis = Millis(1000);
/// Time that a call takes on its endpoint.
const CALL_TIME: Millis = Millis(1000);
const NODES: u16 = 3;

type Slot = Arc<Mutex<Option<Box<dyn Actor>>>>;

/// The world.
#[derive(Debug)]
pub struct World {
    pub platform: Arc<Platform>,
    pub nodes: Vec<Node>,
    pub injector: Mutex<Injector>,
    actors: Mutex<Vec<Slot>>,
    evidence: Mutex<Evidence>,
    announced: Mutex<Millis>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn endpoint_name(index: u16) -> EndpointName {
    EndpointName::new(format!("w{index}")).expect("a valid name")
}

/// An endpoint of the one rack.
pub fn listed_endpoint(index: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: endpoint_name(index),
        address: ([127, 0, 0, 1], 20_000 + index).into(),
        rack: "r0".parse().expect("a valid name"),
        domain: "d0".parse().expect("a valid name"),
        cores: 64,
        memory_mb: 256_000,
        accelerators: 8,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    }
}

impl World {
    /// A world with 8 endpoints whose instances are wired like this.
    pub fn wired(wiring: Wiring) -> Arc<Self> {
        let platform = Platform::new();
        for index in 0..8 {
            platform.add_endpoint(Endpoint::new(listed_endpoint(index), 1.0));
        }
        let nodes = (0..NODES).map(|index| Node::new(&platform, index, wiring)).collect();
        let world = Arc::new(Self {
            platform,
            nodes,
            injector: Mutex::default(),
            actors: Mutex::default(),
            evidence: Mutex::default(),
            announced: Mutex::default(),
        });
        for (index, node) in world.nodes.iter().enumerate() {
            let weak = Arc::downgrade(&world);
            node.link
                .set_hook(move |point| weak.upgrade().map_or(Fault::None, |world| world.pass(index, point)));
        }
        world
    }

    pub fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    pub fn evidence(&self) -> MutexGuard<'_, Evidence> {
        lock(&self.evidence)
    }

    pub fn tell(&self, told: Told) {
        self.evidence().told.push(told);
    }

    /// Notes a request whose instance is gone.
    pub fn broken(&self, node: usize, id: &str) {
        let planned = self.nodes[node].state() == super::instance::State::Left;
        self.tell(Told::Broken {
            at: self.now(),
            id: id.to_owned(),
            planned,
        });
    }

    pub fn add<A>(&self, actor: A)
    where
        A: Actor + 'static,
    {
        lock(&self.actors).push(Arc::new(Mutex::new(Some(Box::new(actor)))));
    }

    /// Adds a caller of a job that returns this answer.
    pub fn add_caller(&self, caller: Caller, wanted: Wanted) {
        self.evidence().wanted.insert(caller.id().clone(), wanted);
        self.add(caller);
    }

    /// An instance that takes requests: this one if it does.
    pub fn open_node(&self, node: usize) -> usize {
        let count = self.nodes.len();
        let mut order = (node..node + count).map(|index| index % count);
        order
            .find(|index| self.nodes[*index].is_open(self.now()))
            .unwrap_or(node)
    }

    /// Asked at each point that a request passes.
    fn pass(&self, index: usize, point: &Point) -> Fault {
        if point.step == Step::Send && point.side == Side::After {
            self.run_for(CALL_TIME);
        }
        if !self.nodes[index].is_up() {
            return Fault::Cut;
        }
        let fault = super::fault::pass(self, index, point);
        if self.nodes[index].is_up() { fault } else { Fault::Cut }
    }

    /// Lets everybody but those who wait further up in the call stack go on for so long.
    pub fn run_for(&self, span: Millis) {
        let end = self.now() + span;
        while self.now() < end {
            self.tick();
        }
    }

    /// Steps everybody once and moves the clock on.
    pub fn tick(&self) {
        super::fault::tend(self);
        for node in &self.nodes {
            if node.is_up() && !node.is_frozen() && !node.stepping.swap(true, Ordering::Relaxed) {
                node.core.step(self.now());
                node.leave_if_due(self.now());
                node.stepping.store(false, Ordering::Relaxed);
            }
        }
        self.talk();
        let slots: Vec<_> = lock(&self.actors).iter().map(Arc::clone).collect();
        for slot in slots {
            // An actor whose request is under way further up in the call stack keeps its slot locked.
            let Ok(mut slot) = slot.try_lock() else { continue };
            let Some(actor) = slot.as_mut() else { continue };
            if !self.nodes[actor.node()].is_frozen() && actor.step(self, self.now()) {
                *slot = None;
            }
        }
        self.platform.clock.advance(TICK);
        self.sample();
    }

    /// Carries hints between instances.
    fn talk(&self) {
        let now = self.now();
        let due = {
            let mut announced = lock(&self.announced);
            let due = now >= *announced;
            if due {
                *announced = now + ANNOUNCE_EVERY;
            }
            due
        };
        for (index, node) in self.nodes.iter().enumerate() {
            if !node.is_up() || node.is_frozen() {
                continue;
            }
            if due {
                node.core.queue_periodic_hints(now);
            }
            for hint in node.core.outgoing_hints().try_iter() {
                for (other, peer) in self.nodes.iter().enumerate() {
                    if other != index && peer.is_up() && !peer.is_frozen() {
                        let stale = peer.core.handle_hint(now, &node.name, hint.clone());
                        if stale && !peer.stepping.load(Ordering::Relaxed) {
                            // The next step repeats a refresh that fails.
                            let _ = peer.core.session.refresh(now);
                        }
                    }
                }
            }
        }
    }

    /// Notes which ticket each instance uses, and which endpoints the list shows as leaving.
    fn sample(&self) {
        let at = self.now();
        let mut evidence = self.evidence();
        for (index, node) in self.nodes.iter().enumerate() {
            if !node.is_up() || node.is_frozen() {
                continue;
            }
            if let Some(catalog) = node.core.session.catalog(at) {
                let number = catalog.number;
                evidence.uses.push(Use {
                    at,
                    node: index,
                    number,
                });
            }
        }
    }

    /// Whether every actor has gone.
    pub fn is_quiet(&self) -> bool {
        lock(&self.actors)
            .iter()
            .all(|slot| slot.try_lock().is_ok_and(|slot| slot.is_none()))
    }

    /// Whether nobody waits and every job in the table has ended.
    pub fn is_done(&self) -> bool {
        let ended = |row: &JobRow| matches!(row.phase, Phase::Ended { .. });
        let jobs = || self.rows::<JobId, JobRow, _>("job/", |key| key.parse().ok());
        self.is_quiet() && jobs().values().all(ended)
    }

    /// What the run left.
    pub fn close(&self) -> Evidence {
        let mut evidence = std::mem::take(&mut *self.evidence());
        evidence.record = self.platform.record();
        evidence.end = self.now();
        evidence.rows = self.rows("job/", |key| key.parse().ok());
        evidence.logs = self.rows(key::TICKET_LOG_PREFIX, |key| key.parse().ok());
        evidence
    }

    fn rows<K, V, F>(&self, prefix: &str, parse: F) -> BTreeMap<K, V>
    where
        K: Ord,
        V: serde::de::DeserializeOwned,
        F: Fn(&str) -> Option<K>,
    {
        let mut found = BTreeMap::new();
        for row in scan_all(&self.platform.table, prefix, None).expect("the memory table answers") {
            let name = row.key.strip_prefix(prefix).and_then(&parse);
            let content = serde_json::from_value(row.value).expect("rows have their types");
            found.extend(name.map(|name| (name, content)));
        }
        found
    }

    /// Endpoints that hold or run something now.
    pub fn busy_endpoints(&self) -> BTreeSet<EndpointName> {
        let mut busy = BTreeSet::new();
        for index in 0..8 {
            let name = endpoint_name(index);
            let report = self.platform.with_endpoint(&name, Endpoint::report);
            if report.is_some_and(|report| !report.tasks.is_empty() || report.calls > 0) {
                busy.insert(name);
            }
        }
        busy
    }
}
