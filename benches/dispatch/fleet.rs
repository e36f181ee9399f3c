//! Endpoints in virtual time that carry out every order at once, and the jobs that keep them busy.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::dispatch::{Dispatcher, Effect, Start, Tuning};
use yuccaridge::graph::{JobGraph, Phase, Step, Submission};
use yuccaridge::port::{EndpointEntry, Outcome, Pool, Queue, Report, Resources, RunEnd, RunningTask, SiteConfig, Team};

/// Time of one turn of the leader, in milliseconds.
const TURN_MS: u64 = 10;

/// Time between two reports of an endpoint on which no run ends, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Endpoints of a rack.
const RACK_SIZE: usize = 20;

const START: u64 = 1_000_000;
const BORN: u64 = 7;

/// Numbers of accelerators that the tasks of a gang take.
const GANG_ACCELERATORS: [u64; 5] = [1, 2, 4, 8, 8];

/// Jobs of each queue in a second.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub label: &'static str,
    /// Wide gangs of long tasks, without priority.
    pub normal: f64,
    /// Small gangs of short tasks that may preempt others.
    pub urgent: f64,
    /// Many single tasks, of which some depend on others.
    pub batch: f64,
}

impl Load {
    pub const USUAL: Self = Self {
        label: "usual",
        normal: 4.3,
        urgent: 19.6,
        batch: 3.4,
    };
    pub const BURST: Self = Self {
        label: "burst",
        normal: 11.0,
        urgent: 40.0,
        batch: 5.0,
    };
    /// More than the fleet can run.
    pub const OVERLOAD: Self = Self {
        label: "overload",
        normal: 25.0,
        urgent: 80.0,
        batch: 8.0,
    };
}

/// A run on an endpoint.
struct Run {
    started_at: u64,
    ends_at: u64,
}

struct FakeEndpoint {
    runs: BTreeMap<(Arc<str>, u32), Run>,
    ended: Vec<RunEnd>,
    next_end: u64,
    report_at: u64,
    /// Duration of a task relative to the estimate.
    slowness: f64,
}

/// Time and number of calls of one kind.
#[derive(Default)]
struct Cost {
    total: Duration,
    most: Duration,
    calls: u32,
}

pub struct Fleet {
    dispatcher: Dispatcher,
    endpoints: BTreeMap<Arc<str>, FakeEndpoint>,
    load: Load,
    rng: SmallRng,
    now: u64,
    jobs: u64,
    placed: u64,
    costs: BTreeMap<&'static str, Cost>,
}

impl Fleet {
    pub fn new(endpoints: usize, load: Load) -> Self {
        let mut dispatcher = Dispatcher::new(Tuning::default(), START);
        dispatcher.configure(Arc::new(config()));
        dispatcher.raise_fence(1, START);
        let mut rng = SmallRng::seed_from_u64(7);
        let mut fakes = BTreeMap::new();
        for index in 0..endpoints {
            let name: Arc<str> = Arc::from(format!("endpoint-{index:04}"));
            dispatcher.update_endpoint(&name, Some(entry(index)), START);
            let fake = FakeEndpoint {
                runs: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                report_at: START + rng.random_range(0..REPORT_MS),
                slowness: [1.8, 0.85, 0.85, 0.85][index % 4],
            };
            fakes.insert(name, fake);
        }
        let mut fleet = Self {
            dispatcher,
            endpoints: fakes,
            load,
            rng,
            now: START,
            jobs: 0,
            placed: 0,
            costs: BTreeMap::new(),
        };
        let names: Vec<Arc<str>> = fleet.endpoints.keys().cloned().collect();
        for name in names {
            fleet.report(&name);
        }
        fleet
    }

    /// Forgets the costs so far.
    pub fn reset(&mut self) {
        self.costs.clear();
        self.placed = 0;
    }

    /// Advances the time; returns the time that the dispatcher took.
    pub fn advance(&mut self, span_ms: u64) -> Duration {
        let before = self.spent();
        for _ in 0..span_ms / TURN_MS {
            self.now += TURN_MS;
            self.submit();
            self.report_due();
            self.turn();
        }
        self.spent().saturating_sub(before)
    }

    /// Costs by kind of call, and for each run that was placed.
    pub fn summary(&self, label: &str) -> String {
        let per_run = self.spent() / u32::try_from(self.placed.max(1)).unwrap_or(u32::MAX);
        let waiting = self
            .dispatcher
            .jobs()
            .values()
            .filter(|job| job.phase == Phase::Queued)
            .count();
        let mut text = format!(
            "{label}: {} runs placed, {per_run:?} each; {} jobs, {waiting} of them waiting",
            self.placed,
            self.dispatcher.jobs().len()
        );
        for (kind, cost) in &self.costs {
            let mean = cost.total / cost.calls.max(1);
            write!(
                text,
                "\n  {kind}: {:?} in {} calls, mean {mean:?}, most {:?}",
                cost.total, cost.calls, cost.most
            )
            .expect("a string can be written to");
        }
        text
    }

    fn spent(&self) -> Duration {
        self.costs.values().map(|cost| cost.total).sum()
    }

    fn timed<T>(&mut self, kind: &'static str, call: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let begun = Instant::now();
        let result = call(&mut self.dispatcher);
        let took = begun.elapsed();
        let cost = self.costs.entry(kind).or_default();
        cost.total += took;
        cost.most = cost.most.max(took);
        cost.calls += 1;
        result
    }

    fn submit(&mut self) {
        let share = TURN_MS as f64 / 1_000.0;
        for (queue, rate) in [
            ("normal", self.load.normal),
            ("urgent", self.load.urgent),
            ("batch", self.load.batch),
        ] {
            if !self.rng.random_bool((rate * share).min(1.0)) {
                continue;
            }
            let steps = self.steps(queue);
            self.jobs += 1;
            let id: Arc<str> = Arc::from(format!("{:016x}", self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            let submission = Submission {
                queue: queue.to_owned(),
                team: format!("team-{}", self.jobs % 24),
                graph: JobGraph {
                    payload: "work".to_owned(),
                    steps,
                    scheduled_occurrences: 0,
                    start_ms: 0,
                    interval_ms: 0,
                },
                accepted_ms: 0,
                settings: None,
            };
            let now = self.now;
            self.timed("submit", |dispatcher| {
                dispatcher.submit(&id, submission, None, Phase::Queued, 0, now);
            });
        }
    }

    fn steps(&mut self, queue: &str) -> Vec<Step> {
        let rng = &mut self.rng;
        let gang_accelerators = GANG_ACCELERATORS[rng.random_range(0..GANG_ACCELERATORS.len())];
        let mut width = |mean: f64, most: u32| ((-rng.random::<f64>().ln() * mean) as u32).clamp(1, most);
        let gang = |count, estimate_ms, millicores, memory_mb| Step {
            count,
            millicores,
            memory_mb,
            accelerators: gang_accelerators,
            estimate_ms,
            gang: true,
            ..Step::default()
        };
        match queue {
            "normal" => vec![Step {
                adjacent: true,
                checkpoints: true,
                ..gang(width(26.0, 160), 6_800, 13_000, 19_000)
            }],
            "urgent" => vec![gang(width(7.6, 46), 2_500, 4_000, 6_000)],
            _ => {
                let single = |count, after| Step {
                    count,
                    millicores: 11_000,
                    memory_mb: 16_000,
                    accelerators: 1,
                    estimate_ms: 7_600,
                    after,
                    ..Step::default()
                };
                let mut steps = vec![single(width(78.0, 470), Vec::new())];
                if width(10.0, 10) > 7 {
                    steps.push(single(width(78.0, 470), vec![0]));
                }
                steps
            }
        }
    }

    fn report_due(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (name, fake) in &mut self.endpoints {
            let over: Vec<(Arc<str>, u32)> = fake
                .runs
                .iter()
                .filter(|(_, run)| run.ends_at <= now)
                .map(|(key, _)| key.clone())
                .collect();
            for (task, run) in over {
                fake.runs.remove(&(Arc::clone(&task), run));
                fake.ended.push(RunEnd {
                    number: fake.next_end,
                    task,
                    run,
                    outcome: Outcome::Done,
                    checkpoint: Arc::from(""),
                });
                fake.next_end += 1;
                fake.report_at = now;
            }
            if fake.report_at <= now && !(fake.runs.is_empty() && fake.ended.is_empty()) {
                due.push(Arc::clone(name));
            }
        }
        for name in due {
            self.report(&name);
        }
    }

    fn report(&mut self, name: &Arc<str>) {
        let now = self.now;
        let Some(fake) = self.endpoints.get_mut(name) else {
            return;
        };
        fake.report_at = now + REPORT_MS;
        let ended = std::mem::take(&mut fake.ended);
        let running = fake.runs.iter().map(|((task, run), state)| RunningTask {
            task: Arc::clone(task),
            run: *run,
            checkpoint: Arc::from(""),
            percent: ((now - state.started_at) as f64 * 100.0 / (state.ends_at - state.started_at) as f64).floor(),
            load: 0.0,
        });
        let report = Report {
            born: Some(BORN),
            clock_ms: now,
            running: running.collect(),
            ended,
            more_ends: false,
        };
        self.timed("report", |dispatcher| dispatcher.report(name, &report, 0, now, now));
    }

    fn turn(&mut self) {
        let now = self.now;
        let effects = self.timed("step", |dispatcher| dispatcher.step(now, now));
        self.carry_out(effects);
        if let Some(snapshot) = self.timed("snapshot", Dispatcher::snapshot) {
            self.timed("stored", |dispatcher| dispatcher.stored(snapshot, now));
        }
        let effects = self.timed("step", |dispatcher| dispatcher.step(now, now));
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let now = self.now;
        for effect in effects {
            match effect {
                Effect::Start(start) => self.start(&start),
                Effect::Stop(stop) => {
                    self.timed("stopped", |dispatcher| dispatcher.stopped(&stop, Ok(now), now));
                    let Some(fake) = self.endpoints.get_mut(&stop.endpoint) else {
                        continue;
                    };
                    let Some(run) = fake.runs.get_mut(&(stop.task, stop.run)) else {
                        continue;
                    };
                    // A run that was stopped is reported as ended; the dispatcher ignores how.
                    run.ends_at = now + 200;
                }
                Effect::AdviceRequest(_) => {}
            }
        }
    }

    fn start(&mut self, start: &Start) {
        let now = self.now;
        self.placed += 1;
        let estimate = self.dispatcher.jobs()[&start.job].step(start.unit).estimate_ms as f64;
        if let Some(fake) = self.endpoints.get_mut(&start.endpoint) {
            let run = Run {
                started_at: now,
                ends_at: now + (estimate * fake.slowness) as u64,
            };
            fake.runs.insert((Arc::clone(&start.task), start.run), run);
        }
        self.timed("started", |dispatcher| dispatcher.started(start, Ok(now), now));
    }
}

fn entry(index: usize) -> EndpointEntry {
    let rack: Arc<str> = Arc::from(format!("rack-{:03}", index / RACK_SIZE));
    EndpointEntry {
        pool: Arc::from("pool"),
        address: Arc::from("10.0.0.1:1"),
        domain: Arc::from("d0"),
        born: BORN,
        draining: false,
        remaining_ms: None,
        warm_up_left_ms: 0,
        capacity: Resources {
            millicores: 128_000,
            memory_mb: 262_144,
            accelerators: 8,
        },
        labels: vec![Arc::from("a"), Arc::clone(&rack)],
        rack: Some(rack),
    }
}

fn config() -> SiteConfig {
    let mut config = SiteConfig {
        version: 1,
        ..SiteConfig::default()
    };
    for (queue, priority) in [("urgent", 0), ("normal", 1), ("batch", 2)] {
        let queue = Queue {
            name: Arc::from(queue),
            host: Arc::from("host"),
            prefix: Arc::from(format!("/{queue}/")),
            pool: Arc::from("pool"),
            priority,
            attempts: 3,
            stretch: if priority == 0 { 1.5 } else { 3.0 },
            slack_ms: 1_000,
            open: false,
            advice: None,
        };
        config.queues.insert(Arc::clone(&queue.name), Arc::new(queue));
    }
    let pool = Pool {
        checks_capacity: true,
        standby: false,
    };
    config.pools.insert(Arc::from("pool"), pool);
    for index in 0..24 {
        let name: Arc<str> = Arc::from(format!("team-{index}"));
        let team = Team {
            name: Arc::clone(&name),
            keys: Vec::new(),
            guaranteed: 200,
        };
        config.teams.insert(name, team);
    }
    config
}
