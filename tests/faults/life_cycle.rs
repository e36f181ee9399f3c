//! The life cycles: the columns of the matrix.

use std::sync::Arc;

use serde_json::{Value, json};
use standin::fake::Side;
use standin::record::TaskEvent;
use yuccaridge::job::{Class, JobSpec, Shape};
use yuccaridge::platform::Step;
use yuccaridge::time::Millis;

use super::actor::{Actor, Caller};
use super::evidence::{Evidence, Wanted};
use super::fault::{RACE_NUMBER, Row};
use super::instance::{Wiring, direct};
use super::operator::Operator;
use super::simulation::{World, lock};

const SECOND: Millis = Millis::from_secs(1);
/// Longest time that a run may take after its life cycle began.
const RUN_MAX: Millis = Millis::from_secs(600);
/// The same without some mechanism, where jobs may never end.
const FLAWED_MAX: Millis = Millis::from_secs(60);
/// Time for which every run goes on after everything has ended.
const REST: Millis = Millis::from_secs(3);

/// A life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Column {
    Idempotent,
    Once,
    Gang,
    Reclaim,
    Ticket,
    Drain,
}

/// Drains an instance at some time.
#[derive(Debug)]
struct Drainer {
    node: usize,
    at: Millis,
}

impl Actor for Drainer {
    fn node(&self) -> usize {
        self.node
    }

    fn step(&mut self, world: &World, now: Millis) -> bool {
        if now >= self.at {
            world.nodes[self.node].drain(now);
        }
        now >= self.at
    }
}

/// Teams `a` and `c` with guarantees of 4 endpoints and 1 endpoint, and `b` without.
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

/// A call with an answer in three parts; `size` is that of one part in bytes.
pub fn call(idempotent: bool, size: usize) -> (JobSpec, Wanted) {
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
    (spec, Wanted { idempotent, answer })
}

/// A gang whose members hold 8 accelerators each.
pub fn gang(team: &str, members: u16, work_ms: u64, size: usize) -> (JobSpec, Wanted) {
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
        Wanted {
            idempotent: true,
            answer,
        },
    )
}

pub fn once((spec, wanted): (JobSpec, Wanted)) -> (JobSpec, Wanted) {
    (
        JobSpec {
            idempotent: false,
            ..spec
        },
        Wanted {
            idempotent: false,
            ..wanted
        },
    )
}

pub fn add(world: &World, id: &str, (spec, wanted): (JobSpec, Wanted), node: usize) {
    world.add_caller(Caller::new(id, spec, node, world.now()), wanted);
}

/// Two operators at different instances send different tickets of one number.
pub fn race(world: &World, node: usize) {
    for offset in 0..2 {
        let body = quota_ticket(900 + offset as u64);
        world.add(Operator::new(
            RACE_NUMBER,
            &body,
            (node + offset) % world.nodes.len(),
            world.now(),
        ));
    }
}

/// Jobs that are cancelled one second after they were accepted. Their callers come within one second, not all at once.
pub fn wave(world: &World, count: u16) {
    for index in 0..count {
        let (spec, wanted) = gang("b", 1, 60_000, 1);
        let start = world.now() + Millis(u64::from(index) % 10 * 100);
        let mut caller = Caller::new(&format!("wave-{index}"), spec, usize::from(index) % 3, start);
        caller.cancels = true;
        world.add_caller(caller, wanted);
    }
}

/// Instance that plans the pool.
pub fn holder(world: &World) -> usize {
    let holds = |node: &super::instance::Node| node.is_up() && node.core.pools.count() > 0;
    world.nodes.iter().position(holds).unwrap_or(0)
}

/// Steps until everything has ended; whether it has within the time.
pub fn finish(world: &World, max: Millis) -> bool {
    let end = world.now() + max;
    while world.now() < end {
        world.tick();
        if world.is_done() {
            return true;
        }
    }
    false
}

/// A world with its first ticket in force and its pool held.
pub fn ready(wiring: Wiring) -> Arc<World> {
    let world = World::wired(wiring);
    world.run_for(SECOND);
    world.add(Operator::new(1, &first_ticket(), 0, world.now()));
    assert!(
        finish(&world, Millis::from_secs(20)),
        "the first ticket comes into force"
    );
    world.run_for(Millis::from_secs(3));
    assert_eq!(world.nodes.iter().map(|node| node.core.pools.count()).sum::<usize>(), 1);
    world
}

/// Brings a borrower and a job in its guarantee to run, before faults are injected.
fn borrow(world: &World) {
    let (spec, wanted) = gang("b", 6, 8000, 1);
    add(
        world,
        "borrower",
        (
            JobSpec {
                checkpoints: true,
                ..spec
            },
            wanted,
        ),
        0,
    );
    add(world, "bystander", gang("c", 1, 12_000, 1), 1);
    let running = |world: &World| {
        world
            .platform
            .record()
            .iter()
            .filter(|entry| entry.event == TaskEvent::Started)
            .count()
    };
    for _ in 0..100 {
        world.tick();
        if running(world) == 7 {
            world
                .evidence()
                .guaranteed
                .insert("bystander".parse().expect("a valid id"));
            return;
        }
    }
    panic!("the borrower and the bystander run: {:?}", world.platform.record());
}

/// Time that the gang in its guarantee works. It outlasts a freeze, so that commands of a planner that comes back would
/// hit it.
fn once_ms(row: Option<Row>) -> u64 {
    match row {
        Some(Row::Frozen | Row::FreezeLost) => 16_000,
        _ => 5000,
    }
}

fn begin(world: &World, column: Column, row: Option<Row>) {
    match column {
        Column::Idempotent => add(world, "query", call(true, 10), 0),
        Column::Once => add(world, "order", once(call(false, 7000)), 0),
        Column::Gang => {
            add(world, "gang", gang("b", 4, 18_000, 5000), 0);
            add(world, "once", once(gang("a", 4, once_ms(row), 10)), 1);
            if matches!(row, Some(Row::Frozen | Row::FreezeLost)) {
                world.evidence().guaranteed.insert("once".parse().expect("a valid id"));
            }
        }
        Column::Reclaim => {
            let (spec, wanted) = gang("a", 4, 5000, 10);
            add(world, "urgent", (JobSpec { urgent: true, ..spec }, wanted), 0);
            world
                .evidence()
                .must_start
                .insert("urgent".parse().expect("a valid id"));
        }
        Column::Ticket => world.add(Operator::new(2, &quota_ticket(800), 0, world.now())),
        Column::Drain => {
            let node = holder(world);
            add(world, "gang", once(gang("a", 4, 6000, 10)), node);
            add(world, "query", call(true, 10), node);
            add(world, "order", once(call(false, 10)), node);
            world.add(Drainer {
                node,
                at: world.now() + Millis(1500),
            });
            let mut late = Caller::new("late", once(call(false, 10)).0, node, world.now() + Millis(1400));
            late.cancels = false;
            world.add_caller(late, once(call(false, 10)).1);
        }
    }
}

fn arm(world: &World, target: Option<(Row, Step, Side)>) {
    let mut injector = lock(&world.injector);
    injector.armed = true;
    injector.target = target;
}

/// Takes a mechanism away before faults are injected.
pub type Flaw = fn(&World);

/// One run of a life cycle, with a fault or without.
pub fn run_flawed(column: Column, target: Option<(Row, Step, Side)>, flaw: Option<Flaw>) -> (Arc<World>, Evidence) {
    let world = ready(direct);
    if let Some(flaw) = flaw {
        flaw(&world);
    }
    let max = if flaw.is_some() { FLAWED_MAX } else { RUN_MAX };
    if column == Column::Reclaim {
        borrow(&world);
    }
    arm(&world, target);
    begin(&world, column, target.map(|(row, _, _)| row));
    finish(&world, max);
    world.run_for(REST);
    if let Some((row, _, _)) = target {
        let fired = lock(&world.injector).fired.unwrap_or_default();
        world.run_for((fired + row.settle()).since(world.now()));
        finish(&world, max);
        world.run_for(REST);
    }
    let evidence = world.close();
    (world, evidence)
}

pub fn run(column: Column, target: Option<(Row, Step, Side)>) -> (Arc<World>, Evidence) {
    run_flawed(column, target, None)
}
