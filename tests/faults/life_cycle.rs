//! The life cycles, which are the columns of the matrix, and their requests.

use std::sync::Arc;

use serde_json::{Value, json};
use standin::fake::Side;
use standin::record::TaskEvent;
use yuccaridge::job::{Class, JobSpec, Shape};
use yuccaridge::platform::Step;
use yuccaridge::time::Millis;

use super::actor::{Actor, Caller};
use super::evidence::{Evidence, ExpectedJob};
use super::fault::{FaultKind, RACE_TICKET_NUMBER};
use super::instance::{Wiring, direct};
use super::operator::Operator;
use super::simulation::{Simulation, lock};

const SECOND: Millis = Millis::from_secs(1);
/// Time limit of a run, from the start of its life cycle.
const RUN_MAX: Millis = Millis::from_secs(600);
/// Time limit of a run with a defect, in which jobs may never end.
const DEFECT_RUN_MAX: Millis = Millis::from_secs(60);
/// Time for which every run continues after all jobs and requests have ended.
const TAIL_TIME: Millis = Millis::from_secs(3);

/// A life cycle of a job, ticket or instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifeCycle {
    Idempotent,
    NonIdempotent,
    Gang,
    Reclaim,
    Ticket,
    Drain,
}

/// Drains an instance at a given time.
#[derive(Debug)]
struct Drainer {
    instance: usize,
    at: Millis,
}

impl Actor for Drainer {
    fn instance(&self) -> usize {
        self.instance
    }

    fn step(&mut self, sim: &Simulation, now: Millis) -> bool {
        if now >= self.at {
            sim.instances[self.instance].drain(now);
        }
        now >= self.at
    }
}

/// Ticket with teams `a` and `c`, which have guarantees of 4 endpoints and 1 endpoint, and `b`, which has none.
pub fn first_ticket() -> Value {
    let team = |count: u16| {
        let guarantee = json!({ "pool": "p", "level": "worker", "accelerators": 8, "count": count });
        let guarantees = if count > 0 { vec![guarantee] } else { Vec::new() };
        json!({ "quota": 1000, "weight": 1, "kinds": ["k", "c"], "guarantees": guarantees })
    };
    json!({ "objects": {
        "team": { "a": team(4), "b": team(0), "c": team(1) },
        "kind": { "k": { "class": "batch" }, "c": { "class": "call" } },
        "pool": { "p": { "domains": ["d0"] } },
    }})
}

pub fn quota_ticket(quota: u64) -> Value {
    let team = json!({ "quota": quota, "weight": 1, "kinds": ["k", "c"], "guarantees": [] });
    json!({ "objects": { "team": { "b": team } } })
}

/// A call with an answer in three parts of `size` bytes each.
pub fn call(idempotent: bool, size: usize) -> (JobSpec, ExpectedJob) {
    let part = "x".repeat(size);
    let spec = JobSpec {
        team: "b".parse().expect("a valid name"),
        kind: "c".parse().expect("a valid name"),
        class: Class::Call,
        idempotent,
        shape: Shape::default(),
        run_time_s: 0,
        deadline_s: 0,
        checkpoints: false,
        urgent: false,
        pool: None,
        payload: json!({ "work_ms": 1000, "parts": 3, "answer": part }),
    };
    let answer = json!([part, part, part]);
    (spec, ExpectedJob { idempotent, answer })
}

/// A gang whose members hold 8 accelerators each.
pub fn gang(team: &str, members: u16, work_ms: u64, size: usize) -> (JobSpec, ExpectedJob) {
    let part = "x".repeat(size);
    let spec = JobSpec {
        team: team.parse().expect("a valid name"),
        kind: "k".parse().expect("a valid name"),
        class: Class::Batch,
        shape: Shape {
            members,
            accelerators: 8,
            ..Shape::default()
        },
        run_time_s: work_ms.div_ceil(1000),
        payload: json!({ "work_ms": work_ms, "answer": part }),
        ..call(true, 0).0
    };
    let answer = if members == 1 {
        json!(part)
    } else {
        json!(vec![part; usize::from(members)])
    };
    (
        spec,
        ExpectedJob {
            idempotent: true,
            answer,
        },
    )
}

pub fn non_idempotent((spec, expected): (JobSpec, ExpectedJob)) -> (JobSpec, ExpectedJob) {
    (
        JobSpec {
            idempotent: false,
            ..spec
        },
        ExpectedJob {
            idempotent: false,
            ..expected
        },
    )
}

pub fn add_job(sim: &Simulation, id: &str, (spec, expected): (JobSpec, ExpectedJob), instance: usize) {
    sim.add_caller(Caller::new(id, spec, instance, sim.now()), expected);
}

/// Adds two operators that send different tickets with the same number to different instances.
pub fn send_conflicting_tickets(sim: &Simulation, instance: usize) {
    for offset in 0..2 {
        let body = quota_ticket(900 + offset as u64);
        sim.add_actor(Operator::new(
            RACE_TICKET_NUMBER,
            &body,
            (instance + offset) % sim.instances.len(),
            sim.now(),
        ));
    }
}

/// Adds callers that cancel their jobs one second after they were accepted. Their submissions are spread over one
/// second.
pub fn submit_cancelled_jobs(sim: &Simulation, count: u16) {
    for index in 0..count {
        let (spec, expected) = gang("b", 1, 60_000, 1);
        let start = sim.now() + Millis(u64::from(index) % 10 * 100);
        let mut caller = Caller::new(&format!("wave-{index}"), spec, usize::from(index) % 3, start);
        caller.cancels = true;
        sim.add_caller(caller, expected);
    }
}

/// Index of the instance that holds the pool.
pub fn pool_holder(sim: &Simulation) -> usize {
    let holds = |instance: &super::instance::Instance| instance.is_up() && instance.core.pools.count() > 0;
    sim.instances.iter().position(holds).unwrap_or(0)
}

/// Runs until all actors and jobs have ended; false if they have not within `max`.
pub fn run_until_done(sim: &Simulation, max: Millis) -> bool {
    let end = sim.now() + max;
    while sim.now() < end {
        sim.tick();
        if sim.is_done() {
            return true;
        }
    }
    false
}

/// A simulation whose first ticket is accepted and whose pool is held.
pub fn ready_simulation(wiring: Wiring) -> Arc<Simulation> {
    let sim = Simulation::with_wiring(wiring);
    sim.run_for(SECOND);
    sim.add_actor(Operator::new(1, &first_ticket(), 0, sim.now()));
    assert!(
        run_until_done(&sim, Millis::from_secs(20)),
        "the first ticket is accepted within 20 s"
    );
    sim.run_for(Millis::from_secs(3));
    assert_eq!(
        sim.instances
            .iter()
            .map(|instance| instance.core.pools.count())
            .sum::<usize>(),
        1
    );
    sim
}

/// Starts a job that borrows accelerators and a job within its guarantee, before faults are injected.
fn start_borrower(sim: &Simulation) {
    let (spec, expected) = gang("b", 6, 8000, 1);
    add_job(
        sim,
        "borrower",
        (
            JobSpec {
                checkpoints: true,
                ..spec
            },
            expected,
        ),
        0,
    );
    add_job(sim, "bystander", gang("c", 1, 12_000, 1), 1);
    let started_count = |sim: &Simulation| {
        sim.platform
            .record()
            .iter()
            .filter(|entry| entry.event == TaskEvent::Started)
            .count()
    };
    for _ in 0..100 {
        sim.tick();
        if started_count(sim) == 7 {
            sim.evidence()
                .guaranteed
                .insert("bystander".parse().expect("a valid id"));
            return;
        }
    }
    panic!(
        "the borrower and the bystander did not start within 100 ticks: {:?}",
        sim.platform.record()
    );
}

/// Run time of the gang within its guarantee. It outlasts a freeze, so that commands of a resumed planner would reach
/// it.
fn gang_work_ms(fault: Option<FaultKind>) -> u64 {
    match fault {
        Some(FaultKind::Frozen | FaultKind::FreezeAnswerLost) => 16_000,
        _ => 5000,
    }
}

fn start_cycle(sim: &Simulation, cycle: LifeCycle, fault: Option<FaultKind>) {
    match cycle {
        LifeCycle::Idempotent => add_job(sim, "query", call(true, 10), 0),
        LifeCycle::NonIdempotent => add_job(sim, "order", non_idempotent(call(false, 7000)), 0),
        LifeCycle::Gang => {
            add_job(sim, "gang", gang("b", 4, 18_000, 5000), 0);
            add_job(sim, "once", non_idempotent(gang("a", 4, gang_work_ms(fault), 10)), 1);
            if matches!(fault, Some(FaultKind::Frozen | FaultKind::FreezeAnswerLost)) {
                sim.evidence().guaranteed.insert("once".parse().expect("a valid id"));
            }
        }
        LifeCycle::Reclaim => {
            let (spec, expected) = gang("a", 4, 5000, 10);
            add_job(sim, "urgent", (JobSpec { urgent: true, ..spec }, expected), 0);
            sim.evidence().must_start.insert("urgent".parse().expect("a valid id"));
        }
        LifeCycle::Ticket => sim.add_actor(Operator::new(2, &quota_ticket(800), 0, sim.now())),
        LifeCycle::Drain => {
            let instance = pool_holder(sim);
            add_job(sim, "gang", non_idempotent(gang("a", 4, 6000, 10)), instance);
            add_job(sim, "query", call(true, 10), instance);
            add_job(sim, "order", non_idempotent(call(false, 10)), instance);
            sim.add_actor(Drainer {
                instance,
                at: sim.now() + Millis(1500),
            });
            let mut late = Caller::new(
                "late",
                non_idempotent(call(false, 10)).0,
                instance,
                sim.now() + Millis(1400),
            );
            late.cancels = false;
            sim.add_caller(late, non_idempotent(call(false, 10)).1);
        }
    }
}

fn arm_injector(sim: &Simulation, target: Option<(FaultKind, Step, Side)>) {
    let mut injector = lock(&sim.injector);
    injector.armed = true;
    injector.target = target;
}

/// Disables a mechanism before faults are injected.
pub type Defect = fn(&Simulation);

/// Runs a life cycle, with or without a fault, and optionally with a mechanism disabled.
pub fn run_with_defect(
    cycle: LifeCycle,
    target: Option<(FaultKind, Step, Side)>,
    defect: Option<Defect>,
) -> (Arc<Simulation>, Evidence) {
    let sim = ready_simulation(direct);
    if let Some(defect) = defect {
        defect(&sim);
    }
    let max = if defect.is_some() { DEFECT_RUN_MAX } else { RUN_MAX };
    if cycle == LifeCycle::Reclaim {
        start_borrower(&sim);
    }
    arm_injector(&sim, target);
    start_cycle(&sim, cycle, target.map(|(fault, _, _)| fault));
    run_until_done(&sim, max);
    sim.run_for(TAIL_TIME);
    if let Some((fault, _, _)) = target {
        let injected_at = lock(&sim.injector).injected_at.unwrap_or_default();
        sim.run_for((injected_at + fault.settle_time()).since(sim.now()));
        run_until_done(&sim, max);
        sim.run_for(TAIL_TIME);
    }
    let evidence = sim.collect_evidence();
    (sim, evidence)
}

pub fn run(cycle: LifeCycle, target: Option<(FaultKind, Step, Side)>) -> (Arc<Simulation>, Evidence) {
    run_with_defect(cycle, target, None)
}
