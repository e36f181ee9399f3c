//! Fixtures: a stand-in platform and instances that are stepped by hand.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use standin::endpoint::Endpoint;
use standin::fake::{Fault, Link, Platform, Point, Side};
use standin::record::TaskEvent;
use yuccaridge::accept::BatchJobController;
use yuccaridge::api::JobView;
use yuccaridge::call::{Call, CallController, CallError, Progress};
use yuccaridge::membership::Membership;
use yuccaridge::name::{DomainName, EndpointName, InstanceName, JobId, RackName};
use yuccaridge::platform::{ListedEndpoint, Presence, Row, Step, Table};
use yuccaridge::route::Router;
use yuccaridge::row::OpIds;
use yuccaridge::session::Session;
use yuccaridge::ticket::{NoCapacityCheck, TicketController};
use yuccaridge::time::{Clock, Millis};

/// A stand-in platform with its clock.
pub struct World {
    pub platform: Arc<Platform>,
}

/// The controllers of one instance.
pub struct Node {
    pub link: Arc<Link>,
    pub platform: Arc<Platform>,
    pub session: Arc<Session>,
    pub membership: Arc<Membership>,
    pub tickets: TicketController,
    pub accept: BatchJobController,
    pub calls: CallController,
}

pub fn instance(name: &str) -> InstanceName {
    InstanceName::new(name).unwrap()
}

impl World {
    pub fn new() -> Self {
        Self {
            platform: Platform::new(),
        }
    }

    pub fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    /// Creates an instance that was not stepped yet.
    pub fn node(&self, name: &str, boot: &str) -> Node {
        let link = Link::new(&self.platform);
        let seed = name.bytes().map(u64::from).sum();
        let name = instance(name);
        let ops = Arc::new(OpIds::new(&name, boot));
        let peer = "127.0.0.1:7000".parse().unwrap();
        let domain = DomainName::new("d1").unwrap();
        let table: Arc<dyn Table> = Arc::clone(&link) as _;
        let session = Arc::new(Session::new(
            name,
            boot.to_owned(),
            peer,
            domain,
            Arc::clone(&table),
            Arc::clone(&ops),
        ));
        let membership = Arc::new(Membership::new(Arc::clone(&table), Arc::clone(&link) as _));
        let tickets = TicketController::new(
            Arc::clone(&session),
            Arc::clone(&membership),
            Arc::clone(&table),
            Arc::clone(&ops),
            Arc::new(NoCapacityCheck),
        );
        let accept = BatchJobController::new(
            Arc::clone(&session),
            Arc::clone(&membership),
            Arc::clone(&table),
            Arc::clone(&link) as _,
            Arc::clone(&ops),
        );
        let calls = CallController::new(
            Arc::clone(&session),
            Arc::clone(&membership),
            Arc::new(Mutex::new(Router::new(seed))),
            Arc::clone(&table),
            Arc::clone(&link) as _,
            Arc::clone(&link) as _,
            Arc::clone(&ops),
        );
        Node {
            link,
            platform: Arc::clone(&self.platform),
            session,
            membership,
            tickets,
            accept,
            calls,
        }
    }

    /// Advances the clock by `span` milliseconds in steps of 100 ms, stepping these instances each time.
    pub fn run(&self, nodes: &[&Node], span: u64) {
        for _ in 0..span / 100 {
            for node in nodes {
                node.step();
            }
            self.platform.clock.advance(Millis(100));
        }
    }

    /// Creates a world with two endpoints, live instances of these names, and the first ticket in force.
    pub fn ready<const N: usize>(names: [&str; N]) -> (Self, [Arc<Node>; N]) {
        let world = Self::new();
        world.add_endpoint("w1", 1);
        world.add_endpoint("w2", 2);
        let nodes = names.map(|name| Arc::new(world.node(name, "1")));
        let all: Vec<_> = nodes.iter().map(Arc::as_ref).collect();
        world.run(&all, 1000);
        all[0].tickets.put(world.now(), 1, &bytes(&first_ticket())).unwrap();
        world.run(&all, 2000);
        (world, nodes)
    }

    /// Number of starts of a job on all endpoints.
    pub fn starts(&self, id: &str) -> usize {
        let record = self.platform.record();
        let starts = record.iter().filter(|entry| entry.event == TaskEvent::Started);
        starts.filter(|entry| entry.job.as_str() == id).count()
    }

    /// Runs `act` on an endpoint.
    pub fn endpoint<F>(&self, name: &str, act: F)
    where
        F: FnOnce(&mut Endpoint, Millis),
    {
        let name = EndpointName::new(name).unwrap();
        self.platform.with_endpoint(&name, act).unwrap();
    }

    pub fn row(&self, key: &str) -> Option<Row> {
        self.platform.table.read(&[key.to_owned()]).unwrap().remove(0)
    }

    /// Adds an endpoint of domain `d1` to the platform.
    pub fn add_endpoint(&self, name: &str, port: u16) {
        self.platform.add_endpoint(Endpoint::new(
            ListedEndpoint {
                name: EndpointName::new(name).unwrap(),
                address: ([127, 0, 0, 1], port).into(),
                rack: RackName::new("r1").unwrap(),
                domain: DomainName::new("d1").unwrap(),
                cores: 16,
                memory_mb: 65536,
                accelerators: 8,
                slots: 8,
                connections: 60,
                presence: Presence::Live,
            },
            1.0,
        ));
    }
}

impl Node {
    pub fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    /// Steps all controllers. Errors are ignored: tests inject faults and check the resulting state.
    pub fn step(&self) {
        let now = self.now();
        let _ = self.session.step(now);
        let _ = self.membership.step(now);
        let _ = self.tickets.step(now);
        self.calls.update_router(now, &BTreeSet::new());
        let _ = self.calls.recover(now);
    }

    /// Starts a call.
    pub fn begin(&self, id: &str, body: &Value) -> Result<Call, CallError> {
        self.calls.begin(self.now(), &job_id(id), &bytes(body), None)
    }

    /// Steps a call to its end; while it waits, the clock advances and these instances are stepped.
    pub fn finish(&self, call: &mut Call, nodes: &[&Node]) -> Result<JobView, CallError> {
        for _ in 0..2000 {
            match self.calls.step(self.now(), call)? {
                Progress::Again => {}
                Progress::Wait(span) => {
                    for node in nodes {
                        node.step();
                    }
                    self.platform.clock.advance(span);
                }
                Progress::Done(view) => return Ok(*view),
            }
        }
        panic!("the call of {} does not end", call.id());
    }

    /// Starts a call and steps it to its end.
    pub fn call(&self, id: &str, body: &Value) -> Result<JobView, CallError> {
        let mut call = self.begin(id, body)?;
        self.finish(&mut call, &[self])
    }

    pub fn is_live(&self) -> bool {
        self.session.is_live(self.now())
    }

    /// Cuts every request until [`Node::clear_faults`].
    pub fn cut(&self) {
        self.link.set_hook(|_| Fault::Cut);
    }

    pub fn clear_faults(&self) {
        self.link.set_hook(|_| Fault::None);
    }

    /// Cuts the first `times` requests of one step on one side.
    pub fn cut_at(&self, step: Step, side: Side, times: u64) {
        let left = AtomicU64::new(times);
        self.link.set_hook(move |point| cut_first(point, step, side, &left));
    }

    /// Cuts `times` requests of any step, beginning with the first one of this step on this side.
    pub fn cut_from(&self, step: Step, side: Side, times: u64) {
        let begun = AtomicBool::new(false);
        let left = AtomicU64::new(times);
        self.link.set_hook(move |point| {
            let here = point.step == step && point.side == side;
            if !begun.fetch_or(here, Ordering::Relaxed) && !here {
                return Fault::None;
            }
            cut_first(point, point.step, point.side, &left)
        });
    }

    /// Injects each of these faults once.
    pub fn inject(&self, faults: &[(Step, Side, Fault)]) {
        let faults: Vec<_> = faults.iter().map(|fault| (*fault, AtomicBool::new(false))).collect();
        self.link.set_hook(move |point| {
            for ((step, side, fault), done) in &faults {
                if (point.step, point.side) == (*step, *side) && !done.swap(true, Ordering::Relaxed) {
                    return *fault;
                }
            }
            Fault::None
        });
    }

    /// Lets this many requests pass and cuts all later ones, as if the instance died.
    pub fn cut_after(&self, requests: u64) {
        let left = AtomicU64::new(requests);
        self.link.set_hook(move |point| {
            let cost = u64::from(point.side == Side::Before);
            match left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(cost)) {
                Ok(_) => Fault::None,
                Err(_) => Fault::Cut,
            }
        });
    }

    /// Runs `act` once, during the first request of a step on one side.
    pub fn run_during<F>(&self, step: Step, side: Side, act: F)
    where
        F: Fn() + Send + Sync + 'static,
    {
        let left = AtomicU64::new(1);
        self.link.set_hook(move |point| {
            if cut_first(point, step, side, &left) == Fault::Cut {
                act();
            }
            Fault::None
        });
    }
}

/// Cuts requests of one step on one side while `left` is above 0.
pub fn cut_first(point: &Point, step: Step, side: Side, left: &AtomicU64) -> Fault {
    if point.step != step || point.side != side {
        return Fault::None;
    }
    match left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)) {
        Ok(_) => Fault::Cut,
        Err(_) => Fault::None,
    }
}

/// A ticket with a team, two kinds and a pool.
pub fn first_ticket() -> Value {
    json!({"objects": {
        "team": {"photos": {"quota": 64, "kinds": ["check", "query"],
            "guarantees": [{"pool": "west", "level": "worker", "accelerators": 8, "count": 1}]}},
        "kind": {"check": {"class": "batch"}, "query": {"class": "call"}},
        "pool": {"west": {"domains": ["d1"]}}
    }})
}

pub fn bytes(body: &Value) -> Vec<u8> {
    serde_json::to_vec(body).unwrap()
}

pub fn job_id(id: &str) -> JobId {
    JobId::new(id).unwrap()
}

/// A job of the first ticket's team.
pub fn job(kind: &str, class: &str, change: &Value) -> Value {
    let mut body = json!({"team": "photos", "kind": kind, "class": class});
    for (field, value) in change.as_object().unwrap() {
        body[field] = value.clone();
    }
    body
}
