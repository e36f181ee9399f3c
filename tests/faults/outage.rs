//! What goes on and what stops in a long outage of the table, how it ends, and a wave under the write limit.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use standin::record::TaskEvent;
use yuccaridge::api::{ApiError, JobView};
use yuccaridge::job::Outcome;
use yuccaridge::time::Millis;

use super::actor::Caller;
use super::checker::check;
use super::evidence::{Evidence, Told};
use super::instance::{direct, limited};
use super::life_cycle::{self, add, finish, holder, once, ready};
use super::operator::Operator;
use super::simulation::{World, lock};

const SECOND: Millis = Millis::from_secs(1);
const OUTAGE: Millis = Millis::from_secs(600);
/// Half of what the platform sustains.
const WRITES_MAX: u64 = 150;
/// Callers that come back at the end of the outage.
const CROWD: u16 = 300;
const WAVE: u16 = 2000;
/// Longest time for a takeover: lease and margin, and one second.
const TAKEOVER_MAX: Millis = Millis(4500);

/// Runs for some seconds; the most commits in one of them.
fn most_writes(world: &World, seconds: u64) -> u64 {
    let mut most = 0;
    for _ in 0..seconds {
        let before = world.platform.table.usage().commits;
        world.run_for(SECOND);
        most = most.max(world.platform.table.usage().commits - before);
    }
    most
}

/// First answer that the caller of a job got.
fn first_answer(evidence: &Evidence, wanted: &str) -> Result<JobView, ApiError> {
    for told in &evidence.told {
        if let Told::Job { id, result, .. } = told
            && id.as_str() == wanted
        {
            return result.clone();
        }
    }
    panic!("{wanted} got no answer")
}

/// Whether all instances are live, with one ticket, and one of them plans the pool.
fn in_step(world: &World) -> bool {
    let now = world.now();
    let mut tickets = Vec::new();
    for node in world.nodes.iter().filter(|node| node.is_up()) {
        let Some(catalog) = node.core.session.catalog(now) else {
            return false;
        };
        tickets.push(catalog.number);
    }
    tickets.dedup();
    tickets.len() == 1 && held(world) == 1
}

fn held(world: &World) -> usize {
    world.nodes.iter().map(|node| node.core.pools.count()).sum()
}

/// Time until everything is in step.
fn time_to_step(world: &World) -> Millis {
    let start = world.now();
    while !in_step(world) {
        assert!(world.now().since(start) < OUTAGE, "it never is in step again");
        world.tick();
    }
    world.now().since(start)
}

/// Starts a gang that outlasts the outage, then takes the table away.
fn cut_table(world: &Arc<World>) {
    add(world, "gang", life_cycle::gang("a", 4, 700_000, 10), 0);
    world.run_for(Millis::from_secs(5));
    let mut injector = lock(&world.injector);
    injector.armed = true;
    injector.table_down = world.now() + OUTAGE;
}

/// Guards against an outage that ends running work or idempotent calls, against callers who are told that something was
/// accepted, and against a rush of writes afterwards.
#[test]
fn long_outage() {
    let world = ready(limited);
    cut_table(&world);
    world.run_for(Millis::from_secs(60));
    add(&world, "query", life_cycle::call(true, 10), 1);
    add(&world, "order", once(life_cycle::call(false, 10)), 1);
    add(&world, "batch", life_cycle::gang("b", 1, 1000, 10), 2);
    world.add(Operator::new(2, &life_cycle::quota_ticket(700), 0, world.now()));
    world.run_for(Millis::from_secs(500));
    add(&world, "late", life_cycle::call(true, 10), 2);
    world.run_for(Millis::from_secs(38));
    for index in 0..CROWD {
        let (spec, wanted) = life_cycle::gang("b", 1, 100, 10);
        let start = world.now() + Millis(u64::from(index) % 10 * 100);
        let caller = Caller::new(&format!("crowd-{index}"), spec, usize::from(index) % 3, start);
        world.add_caller(caller, wanted);
    }
    world.run_for(Millis::from_secs(2));
    let during = world.evidence().clone();

    let back = time_to_step(&world);
    let most = most_writes(&world, 20);
    assert!(finish(&world, OUTAGE));
    let evidence = world.close();

    println!("in step {back} after the outage; {most} writes in the busiest second");
    for id in ["query", "late"] {
        let outcome = first_answer(&during, id).expect("an idempotent call goes on").outcome;
        assert!(matches!(outcome, Some(Outcome::Completed { .. })), "{id}: {outcome:?}");
    }
    for id in ["order", "batch", "crowd-0"] {
        let error = first_answer(&during, id).expect_err("nothing is accepted without the table");
        assert!(error.not_run && error.repeat, "{id}: {error:?}");
    }
    let refused = |told: &Told| matches!(told, Told::Ticket { number: 2, result: Err(error), .. } if error.not_run);
    assert!(
        during.told.iter().any(refused),
        "the operator is told that nothing was changed"
    );
    let gang = evidence.record.iter().filter(|entry| entry.job.as_str() == "gang");
    let events: Vec<_> = gang.map(|entry| entry.event).collect();
    assert_eq!(
        events.iter().filter(|event| **event == TaskEvent::Finished).count(),
        4,
        "{events:?}"
    );
    assert_eq!(events.len(), 12, "held, started and finished once each: {events:?}");
    assert!(back <= Millis::from_secs(5), "{back}");
    assert!(most < WRITES_MAX, "{most}");
    assert_eq!(check(&evidence), []);
}

/// Guards against a planner that comes back after a takeover and disturbs what its successor runs.
#[test]
fn frozen_planner_comes_back() {
    let world = ready(direct);
    add(&world, "gang", once(life_cycle::gang("a", 4, 30_000, 10)), 0);
    world.run_for(Millis::from_secs(5));
    let frozen = holder(&world);
    world.nodes[frozen].frozen.store(true, Ordering::Relaxed);
    let start = world.now();

    while held(&world) < 2 {
        assert!(
            world.now().since(start) <= TAKEOVER_MAX,
            "nobody has taken the pool over"
        );
        world.tick();
    }
    let taken = world.now().since(start);
    world.run_for(Millis::from_secs(15));
    world.nodes[frozen].frozen.store(false, Ordering::Relaxed);
    let back = time_to_step(&world);
    assert!(finish(&world, OUTAGE));
    let evidence = world.close();

    println!("taken over after {taken}, in step {back} after the freeze");
    let starts = evidence
        .record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Started)
        .count();
    assert_eq!(starts, 4);
    assert_eq!(check(&evidence), []);
}

/// Guards against a wave of cancellations that exceeds the write limit, costs an instance its session, or is not
/// finished.
#[test]
fn cancellation_wave_stays_under_limit() {
    let world = ready(limited);
    let start = world.now();
    life_cycle::wave(&world, WAVE);

    let mut most = 0;
    while !world.is_done() {
        assert!(world.now().since(start) < OUTAGE, "the wave does not end");
        most = most.max(most_writes(&world, 1));
        let now = world.now();
        assert!(
            world.nodes.iter().all(|node| node.core.session.is_live(now)),
            "no session lapses"
        );
    }
    let took = world.now().since(start);
    let evidence = world.close();

    let count = |accepted: &Evidence| accepted.rows.len();
    println!(
        "{} jobs accepted and cancelled in {took}; {most} writes in the busiest second",
        count(&evidence)
    );
    assert_eq!(count(&evidence), usize::from(WAVE));
    assert!(most <= WRITES_MAX, "{most}");
    assert_eq!(check(&evidence), []);
}

/// Guards against task leases that are renewed in an outage although a member of the system is silent, which may have
/// been cut off with the endpoints, and against a job that is lost then.
#[test]
fn death_in_long_outage_ends_leases() {
    let world = ready(direct);
    cut_table(&world);
    world.run_for(Millis::from_secs(10));
    let silent = (holder(&world) + 1) % world.nodes.len();
    add(&world, "order", once(life_cycle::call(false, 10)), silent);
    world.run_for(Millis::from_secs(30));
    world.nodes[silent].kill();
    world.run_for(OUTAGE);

    assert!(finish(&world, OUTAGE + OUTAGE), "everything ends after the outage");
    let evidence = world.close();
    let lapsed = evidence
        .record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Lapsed)
        .count();
    assert_eq!(lapsed, 4, "every member of the gang lapses once");
    assert_eq!(check(&evidence), []);
}

/// Guards against a ticket that takes away the pool of a job that runs.
#[test]
fn pool_with_running_job_stays() {
    let world = ready(direct);
    add(&world, "gang", life_cycle::gang("a", 4, 20_000, 10), 0);
    world.run_for(Millis::from_secs(5));
    let team =
        |count: u16| serde_json::json!({ "quota": 1000, "weight": count, "kinds": ["k", "c"], "guarantees": [] });
    let body = serde_json::json!({ "objects": { "team": { "a": team(1), "c": team(1) }, "pool": { "p": null } } });
    world.add(Operator::new(2, &body, 1, world.now()));
    world.run_for(Millis::from_secs(10));

    assert!(finish(&world, OUTAGE), "the gang ends");
    let evidence = world.close();
    let removed = evidence.logs.contains_key(&2);
    assert!(!removed, "the pool still has a job");
    assert_eq!(check(&evidence), []);
}
