//! Cost of one decision on a full pool with a backlog.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main};
use yuccaridge::job::{Adjacency, Shape};
use yuccaridge::name::{DomainName, EndpointName, JobId, KindName, PoolName, RackName, TeamName};
use yuccaridge::plan::{Decision, EndKind, EndpointSpec, Event, Policy, QueuedJob, Scheduler, Weights};
use yuccaridge::team::{Guarantee, Level, Team};
use yuccaridge::time::Millis;

/// Number of endpoints. The last is the design size, with 2,700 accelerators, 590 teams and 5,600 running tasks.
const ENDPOINTS: [usize; 4] = [50, 200, 600, 1300];
const TEAMS: usize = 590;
const TASKS: usize = 5600;
/// Number of waiting jobs: on an ordinary evening and after a burst.
const BACKLOGS: [usize; 2] = [300, 5000];

#[derive(Debug)]
struct Workload {
    scheduler: Scheduler,
    now: Millis,
    teams: usize,
    backlog: usize,
    tasks: usize,
    number: u64,
    running: VecDeque<JobId>,
    jobs: BTreeMap<JobId, QueuedJob>,
}

fn accelerators(index: usize) -> u16 {
    match index % 20 {
        0 => 0,
        1 => 8,
        _ => 2,
    }
}

impl Workload {
    fn new(endpoints: usize, backlog: usize) -> Self {
        let teams = (TEAMS * endpoints / 1300).max(4);
        let mut workload = Self {
            scheduler: Scheduler::new(PoolName::new("p").unwrap(), Weights::default()),
            now: Millis::from_secs(1000),
            teams,
            backlog,
            tasks: TASKS * endpoints / 1300,
            number: 0,
            running: VecDeque::new(),
            jobs: BTreeMap::new(),
        };
        for index in 0..endpoints {
            workload.apply(Event::EndpointUp(EndpointSpec {
                name: EndpointName::new(format!("worker-{index:04}")).unwrap(),
                rack: RackName::new(format!("rack-{:03}", index / 8)).unwrap(),
                domain: DomainName::new(format!("domain-{}", index * 7 / endpoints)).unwrap(),
                cores: 64,
                memory_mb: 256_000,
                accelerators: accelerators(index),
                slots: 8,
            }));
        }
        let mut catalog = BTreeMap::new();
        for index in 0..teams {
            let level = if index % 10 == 0 { Level::Rack } else { Level::Endpoint };
            let guarantee = Guarantee {
                pool: PoolName::new("p").unwrap(),
                level,
                accelerators: if index % 10 == 0 { 8 } else { 2 },
                count: 1,
            };
            let team = Team {
                guarantees: vec![guarantee],
                quota: 200,
                weight: 1,
                kinds: BTreeSet::new(),
            };
            catalog.insert(Self::team(index), team);
        }
        workload.apply(Event::Teams(catalog));
        workload.fill();
        workload
    }

    fn team(index: usize) -> TeamName {
        TeamName::new(format!("team-{index:03}")).unwrap()
    }

    fn apply(&mut self, event: Event) {
        self.scheduler.apply(self.now, event);
    }

    /// Submits one job of a mix: single tasks with and without accelerators, and a gang for every 29th job.
    fn submit(&mut self) {
        self.number += 1;
        let n = self.number;
        let mut shape = Shape {
            cores: 1 + (n % 4) as u32,
            accelerators: [0, 0, 1, 0, 1, 0, 2][(n % 7) as usize],
            ..Shape::default()
        };
        if n.is_multiple_of(29) {
            shape.members = [2, 4, 8, 16][(n / 29 % 4) as usize];
            shape.accelerators = 1;
            shape.adjacent = [Adjacency::Any, Adjacency::Rack][(n / 29 % 2) as usize];
        }
        let job = QueuedJob {
            id: JobId::new(format!("job-{n:08}")).unwrap(),
            team: Self::team((n * 31 % self.teams as u64) as usize),
            kind: KindName::new(format!("kind-{}", n % 5)).unwrap(),
            shape,
            declared: Millis::from_secs(600 * (1 + n % 12)),
            checkpoints: !n.is_multiple_of(3),
            idempotent: !n.is_multiple_of(5),
            urgent: n.is_multiple_of(11),
            attempt: 0,
            accepted_at: self.now,
        };
        self.jobs.insert(job.id.clone(), job.clone());
        self.apply(Event::Queued(job));
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Place { job, .. } => {
                    self.apply(Event::Started { job: job.clone() });
                    self.running.push_back(job);
                }
                Decision::Stop { job, .. } => {
                    self.running.retain(|other| *other != job);
                    let kind = EndKind::Stopped;
                    self.apply(Event::Ended {
                        job: job.clone(),
                        kind,
                        endpoint: None,
                    });
                    self.apply(Event::Queued(self.jobs[&job].clone()));
                }
                Decision::Reject { job, .. } => {
                    self.jobs.remove(&job);
                }
                Decision::Quarantine { .. } | Decision::Reinstate { .. } => {}
            }
        }
    }

    fn fill(&mut self) {
        let mut tries = 0;
        while self.tasks() < self.tasks && tries < 4 * self.tasks {
            self.submit();
            self.now = self.now + Millis(50);
            let decisions = self.scheduler.decide(self.now);
            self.carry_out(decisions);
            tries += 1;
        }
        while self.jobs.len() < self.running.len() + self.backlog {
            self.submit();
        }
        for _ in 0..200 {
            self.cycle();
        }
    }

    fn tasks(&self) -> usize {
        let members = |job: &JobId| usize::from(self.jobs[job].shape.members);
        self.running.iter().map(members).sum()
    }

    /// Ends one job, submits one, and returns the time that the decision took.
    fn cycle(&mut self) -> Duration {
        self.now = self.now + Millis(50);
        if let Some(job) = self.running.pop_front() {
            self.jobs.remove(&job);
            let kind = EndKind::Completed;
            self.apply(Event::Ended {
                job,
                kind,
                endpoint: None,
            });
        }
        if self.jobs.len() < self.running.len() + self.backlog || self.tasks() < self.tasks {
            self.submit();
        }
        let start = Instant::now();
        let decisions = black_box(self.scheduler.decide(self.now));
        let took = start.elapsed();
        self.carry_out(decisions);
        took
    }
}

fn measure(group: &mut BenchmarkGroup<'_, WallTime>, endpoints: usize, backlog: usize) {
    let mut workload = Workload::new(endpoints, backlog);
    let mut times = (0..4000).map(|_| workload.cycle()).collect::<Vec<_>>();
    times.sort();
    let (tasks, waiting) = (workload.tasks(), workload.jobs.len() - workload.running.len());
    println!(
        "{endpoints} endpoints, {tasks} tasks, {waiting} waiting: median {:?}, 99th percentile {:?}, worst {:?}",
        times[2000], times[3960], times[3999]
    );
    let name = BenchmarkId::new(backlog.to_string(), endpoints);
    group.bench_function(name, |bencher| {
        bencher.iter_custom(|count| (0..count).map(|_| workload.cycle()).sum());
    });
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for backlog in BACKLOGS {
        for endpoints in ENDPOINTS {
            measure(&mut group, endpoints, backlog);
        }
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
