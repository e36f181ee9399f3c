//! A simulated platform with endpoints, three instances and their clients, stepped in virtual time.
//!
//! A hook on each link is called before and after every request. While an instance is frozen or waits for a slow answer,
//! its hook steps the rest of the simulation in the middle of the request.

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
use super::evidence::{Evidence, ExpectedJob, Response, TicketUse};
use super::fault::Injector;
use super::instance::{Instance, Wiring};

/// Time by which a tick advances the clock.
pub const TICK: Millis = Millis(100);
/// Time between two rounds of periodic hints.
const ANNOUNCE_INTERVAL: Millis = Millis(1000);
/// Duration of a call at its endpoint.
const CALL_TIME: Millis = Millis(1000);
const INSTANCE_COUNT: u16 = 3;

type ActorSlot = Arc<Mutex<Option<Box<dyn Actor>>>>;

/// All simulated parts and the evidence collected so far.
#[derive(Debug)]
pub struct Simulation {
    pub platform: Arc<Platform>,
    pub instances: Vec<Instance>,
    pub injector: Mutex<Injector>,
    actors: Mutex<Vec<ActorSlot>>,
    evidence: Mutex<Evidence>,
    next_announcement: Mutex<Millis>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn endpoint_name(index: u16) -> EndpointName {
    EndpointName::new(format!("w{index}")).expect("a valid name")
}

/// List entry of an endpoint in the only rack.
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

impl Simulation {
    /// A simulation with 8 endpoints whose instances use this wiring.
    pub fn with_wiring(wiring: Wiring) -> Arc<Self> {
        let platform = Platform::new();
        for index in 0..8 {
            platform.add_endpoint(Endpoint::new(listed_endpoint(index), 1.0));
        }
        let instances = (0..INSTANCE_COUNT)
            .map(|index| Instance::new(&platform, index, wiring))
            .collect();
        let sim = Arc::new(Self {
            platform,
            instances,
            injector: Mutex::default(),
            actors: Mutex::default(),
            evidence: Mutex::default(),
            next_announcement: Mutex::default(),
        });
        for (index, instance) in sim.instances.iter().enumerate() {
            let weak = Arc::downgrade(&sim);
            instance
                .link
                .set_hook(move |point| weak.upgrade().map_or(Fault::None, |sim| sim.fault_at(index, point)));
        }
        sim
    }

    pub fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    pub fn evidence(&self) -> MutexGuard<'_, Evidence> {
        lock(&self.evidence)
    }

    pub fn record_response(&self, response: Response) {
        self.evidence().responses.push(response);
    }

    /// Records a request whose instance is gone.
    pub fn record_disconnect(&self, instance: usize, id: &str) {
        let planned = self.instances[instance].state() == super::instance::InstanceState::Left;
        self.record_response(Response::Disconnected {
            at: self.now(),
            id: id.to_owned(),
            planned,
        });
    }

    pub fn add_actor<A>(&self, actor: A)
    where
        A: Actor + 'static,
    {
        lock(&self.actors).push(Arc::new(Mutex::new(Some(Box::new(actor)))));
    }

    /// Adds a caller and the answer that its job must return.
    pub fn add_caller(&self, caller: Caller, expected: ExpectedJob) {
        self.evidence().expected.insert(caller.id().clone(), expected);
        self.add_actor(caller);
    }

    /// Index of an instance that accepts requests: this one if it does, else the next that does.
    pub fn accepting_instance(&self, instance: usize) -> usize {
        let count = self.instances.len();
        let mut order = (instance..instance + count).map(|index| index % count);
        order
            .find(|index| self.instances[*index].accepts_requests(self.now()))
            .unwrap_or(instance)
    }

    /// The fault for a request at this point; called by the hook of the link.
    fn fault_at(&self, index: usize, point: &Point) -> Fault {
        if point.step == Step::Send && point.side == Side::After {
            self.run_for(CALL_TIME);
        }
        if !self.instances[index].is_up() {
            return Fault::Cut;
        }
        let fault = super::fault::fault_at(self, index, point);
        if self.instances[index].is_up() {
            fault
        } else {
            Fault::Cut
        }
    }

    /// Runs the simulation for this time. Actors and instances whose steps are further up the call stack wait.
    pub fn run_for(&self, span: Millis) {
        let end = self.now() + span;
        while self.now() < end {
            self.tick();
        }
    }

    /// Steps all instances and actors once and advances the clock.
    pub fn tick(&self) {
        super::fault::apply_due_changes(self);
        for instance in &self.instances {
            if instance.is_up() && !instance.is_frozen() && !instance.stepping.swap(true, Ordering::Relaxed) {
                instance.core.step(self.now());
                instance.leave_if_due(self.now());
                instance.stepping.store(false, Ordering::Relaxed);
            }
        }
        self.deliver_hints();
        let slots: Vec<_> = lock(&self.actors).iter().map(Arc::clone).collect();
        for slot in slots {
            // The slot is locked while a step of its actor is in progress further up the call stack.
            let Ok(mut slot) = slot.try_lock() else { continue };
            let Some(actor) = slot.as_mut() else { continue };
            if !self.instances[actor.instance()].is_frozen() && actor.step(self, self.now()) {
                *slot = None;
            }
        }
        self.platform.clock.advance(TICK);
        self.record_ticket_uses();
    }

    /// Delivers hints between instances.
    fn deliver_hints(&self) {
        let now = self.now();
        let due = {
            let mut next_announcement = lock(&self.next_announcement);
            let due = now >= *next_announcement;
            if due {
                *next_announcement = now + ANNOUNCE_INTERVAL;
            }
            due
        };
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.is_up() || instance.is_frozen() {
                continue;
            }
            if due {
                instance.core.queue_periodic_hints(now);
            }
            for hint in instance.core.outgoing_hints().try_iter() {
                for (other, peer) in self.instances.iter().enumerate() {
                    if other != index && peer.is_up() && !peer.is_frozen() {
                        let stale = peer.core.handle_hint(now, &instance.name, hint.clone());
                        if stale && !peer.stepping.load(Ordering::Relaxed) {
                            // A failed refresh is repeated by the next step.
                            let _ = peer.core.session.refresh(now);
                        }
                    }
                }
            }
        }
    }

    /// Records which ticket each instance uses.
    fn record_ticket_uses(&self) {
        let at = self.now();
        let mut evidence = self.evidence();
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.is_up() || instance.is_frozen() {
                continue;
            }
            if let Some(catalog) = instance.core.session.catalog(at) {
                let number = catalog.number;
                evidence.ticket_uses.push(TicketUse {
                    at,
                    instance: index,
                    number,
                });
            }
        }
    }

    /// Whether every actor has finished.
    pub fn all_actors_finished(&self) -> bool {
        lock(&self.actors)
            .iter()
            .all(|slot| slot.try_lock().is_ok_and(|slot| slot.is_none()))
    }

    /// Whether every actor has finished and every job in the table has ended.
    pub fn is_done(&self) -> bool {
        let ended = |row: &JobRow| matches!(row.phase, Phase::Ended { .. });
        let jobs = || self.rows::<JobId, JobRow, _>("job/", |key| key.parse().ok());
        self.all_actors_finished() && jobs().values().all(ended)
    }

    /// Takes the evidence of the run.
    pub fn collect_evidence(&self) -> Evidence {
        let mut evidence = std::mem::take(&mut *self.evidence());
        evidence.record = self.platform.record();
        evidence.end = self.now();
        evidence.rows = self.rows("job/", |key| key.parse().ok());
        evidence.ticket_log = self.rows(key::TICKET_LOG_PREFIX, |key| key.parse().ok());
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
            let content = serde_json::from_value(row.value).expect("rows have the type of their prefix");
            found.extend(name.map(|name| (name, content)));
        }
        found
    }

    /// Endpoints that hold or run work.
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
