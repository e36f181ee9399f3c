//! Fixture: a dispatcher in virtual time; the test itself gives the answers and reports of the endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccaridge::dispatch::{AdviceRequest, Dispatcher, Effect, JobWrite, Snapshot, Start, Stop, Tuning};
use yuccaridge::graph::{JobGraph, Step, Submission};
use yuccaridge::port::{
    AdviceTerms, EndpointEntry, HttpLimits, Outcome, Pool, Queue, Report, Resources, RunEnd, RunningTask, SiteConfig,
    Team,
};

/// Time at which each test begins, in milliseconds; larger than any lease.
pub const T0: u64 = 1_000_000;

/// Start time of the first incarnation of each endpoint.
pub const BORN: u64 = 7;

/// A dispatcher with the orders that it sent and the state that it stored.
pub struct World {
    pub dispatcher: Dispatcher,
    pub now: u64,
    pub starts: Vec<Start>,
    pub stops: Vec<Stop>,
    pub advice_requests: Vec<AdviceRequest>,
    /// Latest stored state by job.
    pub stored: BTreeMap<Arc<str>, JobWrite>,
    /// Number of the latest end that each endpoint may forget.
    pub last_ends: BTreeMap<Arc<str>, u64>,
}

pub fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

pub fn config() -> SiteConfig {
    let mut config = SiteConfig {
        version: 1,
        limits: HttpLimits::default(),
        ..SiteConfig::default()
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
        config.queues.insert(Arc::clone(&queue.name), Arc::new(queue));
    }
    let advised = Queue {
        name: name("advised"),
        prefix: name("/advised/"),
        advice: Some(AdviceTerms {
            decide_ms: 100,
            period_ms: 10,
            valid_ms: 3_000,
        }),
        ..Queue::clone(&config.queues["normal"])
    };
    config.queues.insert(Arc::clone(&advised.name), Arc::new(advised));
    let pool = Pool {
        checks_capacity: true,
        standby: false,
    };
    config.pools.insert(name("pool"), pool);
    let team = Team {
        name: name("shops"),
        keys: vec![name("key")],
        guaranteed: 8,
    };
    config.teams.insert(name("shops"), team);
    config
}

pub fn entry(address: &str, rack: &str) -> EndpointEntry {
    EndpointEntry {
        pool: name("pool"),
        address: name(address),
        domain: name("d0"),
        born: BORN,
        draining: false,
        remaining_ms: None,
        warm_up_left_ms: 0,
        capacity: Resources {
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
            scheduled_occurrences: 0,
            start_ms: 0,
            interval_ms: 0,
        },
        accepted_ms: 0,
        settings: None,
    }
}

impl World {
    /// A dispatcher with `endpoints` idle endpoints `e0`, `e1`… in racks of four.
    pub fn new(endpoints: usize) -> Self {
        let mut world = Self::empty();
        for index in 0..endpoints {
            let entry = entry(&format!("10.0.0.{index}:1"), &format!("r{}", index / 4));
            world
                .dispatcher
                .update_endpoint(&name(&format!("e{index}")), Some(entry), T0);
        }
        for index in 0..endpoints {
            world.report(&format!("e{index}"), &[], &[]);
        }
        world
    }

    /// A dispatcher without endpoints.
    pub fn empty() -> Self {
        let mut dispatcher = Dispatcher::new(Tuning::default(), T0);
        dispatcher.configure(Arc::new(config()));
        Self {
            dispatcher,
            now: T0,
            starts: Vec::new(),
            stops: Vec::new(),
            advice_requests: Vec::new(),
            stored: BTreeMap::new(),
            last_ends: BTreeMap::new(),
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

    /// Lets jobs fail after this number of failed runs.
    pub fn allow_attempts(&mut self, attempts: u32) {
        let mut config = config();
        config.version += 1;
        for queue in config.queues.values_mut() {
            Arc::make_mut(queue).attempts = attempts;
        }
        self.dispatcher.configure(Arc::new(config));
    }

    /// Advances the time by `span_ms` in turns of the leader; returns the starts sent meanwhile.
    pub fn advance(&mut self, span_ms: u64) -> Vec<Start> {
        let end = self.now + span_ms;
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

    /// Advances the time until the next start, for at most 20 s.
    pub fn advance_to_start(&mut self) -> Vec<Start> {
        for _ in 0..400 {
            let starts = self.advance(50);
            if !starts.is_empty() {
                return starts;
            }
        }
        Vec::new()
    }

    /// Takes one turn after the least time between two scheduling rounds.
    pub fn round(&mut self) {
        self.now += 10;
        self.turn();
    }

    /// Takes one turn of the leader: decides, stores and sends.
    pub fn turn(&mut self) {
        let effects = self.dispatcher.step(self.now, self.now);
        self.record_orders(effects);
        while let Some(snapshot) = self.dispatcher.snapshot() {
            self.store(snapshot);
        }
        let effects = self.dispatcher.step(self.now, self.now);
        self.record_orders(effects);
    }

    fn store(&mut self, snapshot: Snapshot) {
        for write in &snapshot.jobs {
            self.stored.insert(Arc::clone(&write.id), write.clone());
        }
        for (endpoint, _, seen) in &snapshot.last_ends {
            self.last_ends.insert(Arc::clone(endpoint), *seen);
        }
        self.dispatcher.stored(snapshot, self.now);
    }

    fn record_orders(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(start) => self.starts.push(start),
                Effect::Stop(stop) => self.stops.push(stop),
                Effect::AdviceRequest(ask) => self.advice_requests.push(ask),
            }
        }
    }

    /// Confirms these starts for their endpoints.
    pub fn confirm(&mut self, starts: &[Start]) {
        for start in starts {
            self.dispatcher.started(start, Ok(self.now), self.now);
        }
    }

    /// Reports a page of ends, as (number, task, run, outcome), that further ends follow.
    pub fn report_page(&mut self, endpoint: &str, ended: &[(u64, &str, u32, Outcome)]) {
        let report = Report {
            more_ends: true,
            ..self.make_report(BORN, &[], ended)
        };
        self.dispatcher.report(&name(endpoint), &report, 0, self.now, self.now);
    }

    /// Reports for the first incarnation of an endpoint: runs as (task, run, percent), ends as (number, task, run,
    /// outcome).
    pub fn report(&mut self, endpoint: &str, running: &[(&str, u32, f64)], ended: &[(u64, &str, u32, Outcome)]) {
        self.report_as(endpoint, BORN, 0, running, ended);
    }

    /// Reports that the runs of these starts go on and have saved a checkpoint of 16 characters.
    pub fn report_checkpoints(&mut self, endpoint: &str, starts: &[&Start]) {
        let running: Vec<_> = starts.iter().map(|start| (&*start.task, start.run, 50.0)).collect();
        let mut report = self.make_report(BORN, &running, &[]);
        for run in &mut report.running {
            run.checkpoint = name("00000bb87a21d94b");
        }
        self.dispatcher.report(&name(endpoint), &report, 0, self.now, self.now);
    }

    /// Reports for the incarnation `born` of an endpoint, in answer to a hold with `seen`.
    pub fn report_as(
        &mut self,
        endpoint: &str,
        born: u64,
        seen: u64,
        running: &[(&str, u32, f64)],
        ended: &[(u64, &str, u32, Outcome)],
    ) {
        let report = self.make_report(born, running, ended);
        self.dispatcher
            .report(&name(endpoint), &report, seen, self.now, self.now);
    }

    fn make_report(&self, born: u64, running: &[(&str, u32, f64)], ended: &[(u64, &str, u32, Outcome)]) -> Report {
        let running = running.iter().map(|(task, run, percent)| RunningTask {
            task: name(task),
            run: *run,
            checkpoint: name(""),
            percent: *percent,
            load: 0.0,
        });
        let ended = ended.iter().map(|(number, task, run, outcome)| RunEnd {
            number: *number,
            task: name(task),
            run: *run,
            outcome: *outcome,
            checkpoint: name(""),
        });
        Report {
            born: Some(born),
            clock_ms: self.now,
            running: running.collect(),
            ended: ended.collect(),
            more_ends: false,
        }
    }

    /// Lets the leader read an entry of the incarnation `born` of an endpoint.
    pub fn enter(&mut self, endpoint: &str, born: u64) {
        let entry = EndpointEntry {
            born,
            ..entry("10.0.0.1:1", "r0")
        };
        self.dispatcher.update_endpoint(&name(endpoint), Some(entry), self.now);
    }

    /// State of a job as last stored.
    pub fn job(&self, id: &str) -> &JobWrite {
        &self.stored[id]
    }
}
