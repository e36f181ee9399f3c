//! What goes on and what stops in a long outage of the table, how it ends, and a wave under the write limit.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use standin::record::TaskEvent;
use yuccaridge::api::{ApiError, JobView};
use yuccaridge::job::Outcome;
use yuccaridge::time::Millis;

use super::actor::Caller;
use super::checker::check;
use super::evidence::{Evidence, Response};
use super::instance::{direct, limited};
use super::life_cycle::{self, add_job, non_idempotent, pool_holder, ready_simulation, run_until_done};
use super::operator::Operator;
use super::simulation::{Simulation, lock};

const SECOND: Millis = Millis::from_secs(1);
const OUTAGE_TIME: Millis = Millis::from_secs(600);
/// Half of what the platform sustains.
const WRITES_PER_SECOND_MAX: u64 = 150;
/// Callers that come back at the end of the outage.
const RETURNING_CALLERS: u16 = 300;
const CANCELLATION_COUNT: u16 = 2000;
/// Longest time for a takeover: lease and margin, and one second.
const TAKEOVER_MAX: Millis = Millis(4500);

/// Runs for some seconds; the most commits in one of them.
fn peak_writes_per_second(sim: &Simulation, seconds: u64) -> u64 {
    let mut peak = 0;
    for _ in 0..seconds {
        let before = sim.platform.table.usage().commits;
        sim.run_for(SECOND);
        peak = peak.max(sim.platform.table.usage().commits - before);
    }
    peak
}

/// First answer that the caller of a job got.
fn first_answer(evidence: &Evidence, job: &str) -> Result<JobView, ApiError> {
    for response in &evidence.responses {
        if let Response::Job { id, result, .. } = response
            && id.as_str() == job
        {
            return result.clone();
        }
    }
    panic!("{job} got no answer")
}

/// Whether all instances are live, with one ticket, and one of them plans the pool.
fn is_converged(sim: &Simulation) -> bool {
    let now = sim.now();
    let mut tickets = Vec::new();
    for instance in sim.instances.iter().filter(|instance| instance.is_up()) {
        let Some(catalog) = instance.core.session.catalog(now) else {
            return false;
        };
        tickets.push(catalog.number);
    }
    tickets.dedup();
    tickets.len() == 1 && held_pools(sim) == 1
}

fn held_pools(sim: &Simulation) -> usize {
    sim.instances.iter().map(|instance| instance.core.pools.count()).sum()
}

/// Time until everything is in step.
fn convergence_time(sim: &Simulation) -> Millis {
    let start = sim.now();
    while !is_converged(sim) {
        assert!(sim.now().since(start) < OUTAGE_TIME, "it never is in step again");
        sim.tick();
    }
    sim.now().since(start)
}

/// Starts a gang that outlasts the outage, then takes the table away.
fn start_outage(sim: &Arc<Simulation>) {
    add_job(sim, "gang", life_cycle::gang("a", 4, 700_000, 10), 0);
    sim.run_for(Millis::from_secs(5));
    let mut injector = lock(&sim.injector);
    injector.armed = true;
    injector.table_down_until = sim.now() + OUTAGE_TIME;
}

/// Guards against an outage that ends running work or idempotent calls, against callers who are told that something was
/// accepted, and against a rush of writes afterwards.
#[test]
fn long_outage() {
    let sim = ready_simulation(limited);
    start_outage(&sim);
    sim.run_for(Millis::from_secs(60));
    add_job(&sim, "query", life_cycle::call(true, 10), 1);
    add_job(&sim, "order", non_idempotent(life_cycle::call(false, 10)), 1);
    add_job(&sim, "batch", life_cycle::gang("b", 1, 1000, 10), 2);
    sim.add_actor(Operator::new(2, &life_cycle::quota_ticket(700), 0, sim.now()));
    sim.run_for(Millis::from_secs(500));
    add_job(&sim, "late", life_cycle::call(true, 10), 2);
    sim.run_for(Millis::from_secs(38));
    for index in 0..RETURNING_CALLERS {
        let (spec, job) = life_cycle::gang("b", 1, 100, 10);
        let start = sim.now() + Millis(u64::from(index) % 10 * 100);
        let caller = Caller::new(&format!("crowd-{index}"), spec, usize::from(index) % 3, start);
        sim.add_caller(caller, job);
    }
    sim.run_for(Millis::from_secs(2));
    let during_outage = sim.evidence().clone();

    let converged_in = convergence_time(&sim);
    let peak = peak_writes_per_second(&sim, 20);
    assert!(run_until_done(&sim, OUTAGE_TIME));
    let evidence = sim.collect_evidence();

    println!("in step {converged_in} after the outage; {peak} writes in the busiest second");
    for id in ["query", "late"] {
        let outcome = first_answer(&during_outage, id)
            .expect("an idempotent call goes on")
            .outcome;
        assert!(matches!(outcome, Some(Outcome::Completed { .. })), "{id}: {outcome:?}");
    }
    for id in ["order", "batch", "crowd-0"] {
        let error = first_answer(&during_outage, id).expect_err("nothing is accepted without the table");
        assert!(error.not_run && error.repeat, "{id}: {error:?}");
    }
    let refused = |response: &Response| matches!(response, Response::Ticket { number: 2, result: Err(error), .. } if error.not_run);
    assert!(
        during_outage.responses.iter().any(refused),
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
    assert!(converged_in <= Millis::from_secs(5), "{converged_in}");
    assert!(peak < WRITES_PER_SECOND_MAX, "{peak}");
    assert_eq!(check(&evidence), []);
}

/// Guards against a planner that comes back after a takeover and disturbs what its successor runs.
#[test]
fn frozen_planner_comes_back() {
    let sim = ready_simulation(direct);
    add_job(&sim, "gang", non_idempotent(life_cycle::gang("a", 4, 30_000, 10)), 0);
    sim.run_for(Millis::from_secs(5));
    let frozen = pool_holder(&sim);
    sim.instances[frozen].frozen.store(true, Ordering::Relaxed);
    let start = sim.now();

    while held_pools(&sim) < 2 {
        assert!(sim.now().since(start) <= TAKEOVER_MAX, "nobody has taken the pool over");
        sim.tick();
    }
    let takeover_time = sim.now().since(start);
    sim.run_for(Millis::from_secs(15));
    sim.instances[frozen].frozen.store(false, Ordering::Relaxed);
    let converged_in = convergence_time(&sim);
    assert!(run_until_done(&sim, OUTAGE_TIME));
    let evidence = sim.collect_evidence();

    println!("taken over after {takeover_time}, in step {converged_in} after the freeze");
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
    let sim = ready_simulation(limited);
    let start = sim.now();
    life_cycle::submit_cancelled_jobs(&sim, CANCELLATION_COUNT);

    let mut peak = 0;
    while !sim.is_done() {
        assert!(sim.now().since(start) < OUTAGE_TIME, "the wave does not end");
        peak = peak.max(peak_writes_per_second(&sim, 1));
        let now = sim.now();
        assert!(
            sim.instances.iter().all(|instance| instance.core.session.is_live(now)),
            "no session lapses"
        );
    }
    let took = sim.now().since(start);
    let evidence = sim.collect_evidence();

    let count = |accepted: &Evidence| accepted.rows.len();
    println!(
        "{} jobs accepted and cancelled in {took}; {peak} writes in the busiest second",
        count(&evidence)
    );
    assert_eq!(count(&evidence), usize::from(CANCELLATION_COUNT));
    assert!(peak <= WRITES_PER_SECOND_MAX, "{peak}");
    assert_eq!(check(&evidence), []);
}

/// Guards against task leases that are renewed in an outage although a member of the system is silent, which may have
/// been cut off with the endpoints, and against a job that is lost then.
#[test]
fn death_in_long_outage_ends_leases() {
    let sim = ready_simulation(direct);
    start_outage(&sim);
    sim.run_for(Millis::from_secs(10));
    let killed = (pool_holder(&sim) + 1) % sim.instances.len();
    add_job(&sim, "order", non_idempotent(life_cycle::call(false, 10)), killed);
    sim.run_for(Millis::from_secs(30));
    sim.instances[killed].kill();
    sim.run_for(OUTAGE_TIME);

    assert!(
        run_until_done(&sim, OUTAGE_TIME + OUTAGE_TIME),
        "everything ends after the outage"
    );
    let evidence = sim.collect_evidence();
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
    let sim = ready_simulation(direct);
    add_job(&sim, "gang", life_cycle::gang("a", 4, 20_000, 10), 0);
    sim.run_for(Millis::from_secs(5));
    let team =
        |count: u16| serde_json::json!({ "quota": 1000, "weight": count, "kinds": ["k", "c"], "guarantees": [] });
    let body = serde_json::json!({ "objects": { "team": { "a": team(1), "c": team(1) }, "pool": { "p": null } } });
    sim.add_actor(Operator::new(2, &body, 1, sim.now()));
    sim.run_for(Millis::from_secs(10));

    assert!(run_until_done(&sim, OUTAGE_TIME), "the gang ends");
    let evidence = sim.collect_evidence();
    let removed = evidence.ticket_log.contains_key(&2);
    assert!(!removed, "the pool still has a job");
    assert_eq!(check(&evidence), []);
}
