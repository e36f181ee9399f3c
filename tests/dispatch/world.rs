//! Fixture: a dispatcher with endpoints that the test answers for.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccaridge::dispatch::{AdviceRequest, Dispatcher, Effect, JobWrite, Snapshot, Start, Stop, Tuning};
use yuccaridge::graph::{JobGraph, Step, Submission};
use yuccaridge::port::{
    AdviceTerms, End, EndpointEntry, HttpLimits, Outcome, Policy, Pool, Queue, Report, Room, Running, Team,
};

/// Time at which each test begins, in milliseconds; any value above all leases.
pub const T0: u64 = 1_000_000;

/// Start time of the first life of each endpoint.
pub const BORN: u64 = 7;

/// A dispatcher, what it ordered, and what was stored.
pub struct World {
    pub dispatcher: Dispatcher,
    pub now: u64,
    pub starts: Vec<Start>,
    pub stops: Vec<Stop>,
    pub asks: Vec<AdviceRequest>,
    /// Latest stored state by job.
    pub stored: BTreeMap<Arc<str>, JobWrite>,
    /// Latest end that each endpoint may forget.
    pub seen: BTreeMap<Arc<str>, u64>,
}

pub fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

pub fn policy() -> Policy {
    let mut policy = Policy {
        version: 1,
        limits: HttpLimits::default(),
        ..Policy::default()
    };
    for (queue, priority) in [("urgent", 0), ("normal", 1), ("batch", 2)] {
        let queue = Queue {
            name: name(queue),
            host: name("host"),
            prefix: name(&format!("/{queue}/")),
            pool: name("pool"),
            priority,
            attempts: 3,
            stretch: 3.0,
            slack_ms: 1_000,
            open: false,
            advice: None,
        };
        policy.queues.insert(Arc::clone(&queue.name), Arc::new(queue));
    }
    let advised = Queue {
        name: name("advised"),
        prefix: name("/advised/"),
        advice: Some(AdviceTerms {
            decide_ms: 100,
            period_ms: 10,
            valid_ms: 3_000,
        }),
        ..Queue::clone(&policy.queues["normal"])
    };
    policy.queues.insert(Arc::clone(&advised.name), Arc::new(advised));
    let pool = Pool {
        guards: true,
        standby: false,
    };
    policy.pools.insert(name("pool"), pool);
    let team = Team {
        name: name("shops"),
        keys: vec![name("key")],
        guaranteed: 8,
    };
    policy.teams.insert(name("shops"), team);
    policy
}

pub fn entry(address: &str, rack: &str) -> EndpointEntry {
    EndpointEntry {
        pool: name("pool"),
        address: name(address),
        domain: name("d0"),
        born: BORN,
        draining: false,
        remaining_ms: None,
        cold_ms: 0,
        capacity: Room {
            millicores: 128_000,
            memory_mb: 262_144,
            accelerators: 8,
        },
        labels: vec![name("a"), name(rack)],
        rack: Some(name(rack)),
    }
}

pub fn step(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        millicores: 10_000,
        memory_mb: 16_000,
        accelerators,
        estimate_ms,
        ..Step::default()
    }
}

pub fn gang(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        gang: true,
        adjacent: true,
        ..step(count, accelerators, estimate_ms)
    }
}

pub fn submission(queue: &str, steps: Vec<Step>) -> Submission {
    Submission {
        queue: queue.to_owned(),
        team: "shops".to_owned(),
        graph: JobGraph {
            payload: "work".to_owned(),
            steps,
            times: 0,
            start_ms: 0,
            interval_ms: 0,
        },
        accepted_ms: 0,
    }
}

impl World {
    /// A dispatcher with `endpoints` idle endpoints `e0`, `e1`… in racks of four.
    pub fn new(endpoints: usize) -> Self {
        let mut world = Self::empty();
        for at in 0..endpoints {
            let entry = entry(&format!("10.0.0.{at}:1"), &format!("r{}", at / 4));
            world
                .dispatcher
                .update_endpoint(&name(&format!("e{at}")), Some(entry), T0);
        }
        for at in 0..endpoints {
            world.report(&format!("e{at}"), &[], &[]);
        }
        world
    }

    /// A dispatcher that knows no endpoint.
    pub fn empty() -> Self {
        let mut dispatcher = Dispatcher::new(Tuning::default(), T0);
        dispatcher.configure(Arc::new(policy()));
        Self {
            dispatcher,
            now: T0,
            starts: Vec::new(),
            stops: Vec::new(),
            asks: Vec::new(),
            stored: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    pub fn submit(&mut self, id: &str, queue: &str, steps: Vec<Step>) {
        let submission = submission(queue, steps);
        self.dispatcher.submit(
            &name(id),
            submission,
            None,
            yuccaridge::graph::Phase::Queued,
            0,
            self.now,
        );
    }

    /// Lets `span` milliseconds pass, in steps as a leader would take them; returns the starts sent meanwhile.
    pub fn pass(&mut self, span: u64) -> Vec<Start> {
        let end = self.now + span;
        let before = self.starts.len();
        loop {
            self.turn();
            if self.now >= end {
                break;
            }
            self.now = (self.now + 50).min(end);
        }
        self.starts[before..].to_vec()
    }

    /// One turn after the pause that the dispatcher makes between two rounds.
    pub fn round(&mut self) {
        self.now += 10;
        self.turn();
    }

    /// One turn of the leader: decisions are stored and orders go out.
    pub fn turn(&mut self) {
        let effects = self.dispatcher.step(self.now, self.now);
        self.take(effects);
        while let Some(snapshot) = self.dispatcher.snapshot() {
            self.store(snapshot);
        }
        let effects = self.dispatcher.step(self.now, self.now);
        self.take(effects);
    }

    fn store(&mut self, snapshot: Snapshot) {
        for write in &snapshot.jobs {
            self.stored.insert(Arc::clone(&write.id), write.clone());
        }
        for (endpoint, _, seen) in &snapshot.seen {
            self.seen.insert(Arc::clone(endpoint), *seen);
        }
        self.dispatcher.stored(snapshot, self.now);
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(start) => self.starts.push(start),
                Effect::Stop(stop) => self.stops.push(stop),
                Effect::AdviceRequest(ask) => self.asks.push(ask),
            }
        }
    }

    /// All endpoints confirm these starts.
    pub fn confirm(&mut self, starts: &[Start]) {
        for start in starts {
            self.dispatcher.started(start, Ok(self.now), self.now);
        }
    }

    /// A report of an endpoint: runs as task, run and percent, ends as number, task, run and outcome.
    pub fn report(&mut self, endpoint: &str, running: &[(&str, u32, f64)], ended: &[(u64, &str, u32, Outcome)]) {
        let running = running.iter().map(|(task, run, percent)| Running {
            task: name(task),
            run: *run,
            checkpoint: name(""),
            percent: *percent,
            load: 0.0,
        });
        let ended = ended.iter().map(|(number, task, run, outcome)| End {
            number: *number,
            task: name(task),
            run: *run,
            outcome: *outcome,
            checkpoint: name(""),
        });
        let report = Report {
            born: Some(BORN),
            clock_ms: self.now,
            running: running.collect(),
            ended: ended.collect(),
        };
        self.dispatcher.report(&name(endpoint), &report, 0, self.now, self.now);
    }

    /// State of a job as it was last stored.
    pub fn job(&self, id: &str) -> &JobWrite {
        &self.stored[id]
    }
}
