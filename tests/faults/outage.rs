//! Behaviour during and after a long table outage, after a freeze, and under the write limit.

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
/// Half of the write rate that the platform sustains.
const WRITES_PER_SECOND_MAX: u64 = 150;
/// Callers that return at the end of the outage.
const RETURNING_CALLERS: u16 = 300;
const CANCELLATION_COUNT: u16 = 2000;
/// Longest time for a takeover: lease, margin and one second.
const TAKEOVER_MAX: Millis = Millis(4500);

/// Runs for `seconds`; the highest number of commits in one second.
fn peak_writes_per_second(sim: &Simulation, seconds: u64) -> u64 {
    let mut peak = 0;
    for _ in 0..seconds {
        let before = sim.platform.table.usage().commits;
        sim.run_for(SECOND);
        peak = peak.max(sim.platform.table.usage().commits - before);
    }
    peak
}

/// First response to the caller of a job.
fn first_response(evidence: &Evidence, job_id: &str) -> Result<JobView, ApiError> {
    for response in &evidence.responses {
        if let Response::Job { id, result, .. } = response
            && id.as_str() == job_id
        {
            return result.clone();
        }
    }
    panic!("the caller of {job_id} got no response")
}

/// Whether all running instances have a live session, use the same ticket, and one of them holds the pool.
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

/// Time until the instances have converged.
fn convergence_time(sim: &Simulation) -> Millis {
    let start = sim.now();
    while !is_converged(sim) {
        assert!(
            sim.now().since(start) < OUTAGE_TIME,
            "the instances do not converge within the time limit"
        );
        sim.tick();
    }
    sim.now().since(start)
}

/// Starts a gang that outlasts the outage, then makes the table unavailable.
fn start_outage(sim: &Arc<Simulation>) {
    add_job(sim, "gang", life_cycle::gang("a", 4, 700_000, 10), 0);
    sim.run_for(Millis::from_secs(5));
    let mut injector = lock(&sim.injector);
    injector.armed = true;
    injector.table_down_until = sim.now() + OUTAGE_TIME;
}

/// Guards against an outage that ends running work or idempotent calls, against requests reported as accepted without
/// the table, and against a burst of writes when it returns.
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
        let (spec, expected) = life_cycle::gang("b", 1, 100, 10);
        let start = sim.now() + Millis(u64::from(index) % 10 * 100);
        let caller = Caller::new(&format!("crowd-{index}"), spec, usize::from(index) % 3, start);
        sim.add_caller(caller, expected);
    }
    sim.run_for(Millis::from_secs(2));
    let during_outage = sim.evidence().clone();

    let converged_in = convergence_time(&sim);
    let peak = peak_writes_per_second(&sim, 20);
    assert!(run_until_done(&sim, OUTAGE_TIME));
    let evidence = sim.collect_evidence();

    println!("converged {converged_in} after the outage; {peak} writes in the busiest second");
    for id in ["query", "late"] {
        let outcome = first_response(&during_outage, id)
            .expect("an idempotent call succeeds during the outage")
            .outcome;
        assert!(matches!(outcome, Some(Outcome::Completed { .. })), "{id}: {outcome:?}");
    }
    for id in ["order", "batch", "crowd-0"] {
        let error = first_response(&during_outage, id).expect_err("nothing is accepted without the table");
        assert!(error.not_run && error.repeat, "{id}: {error:?}");
    }
    let refused = |response: &Response| matches!(response, Response::Ticket { number: 2, result: Err(error), .. } if error.not_run);
    assert!(
        during_outage.responses.iter().any(refused),
        "the operator gets an error that the ticket was not run"
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

/// Guards against a planner that resumes after a takeover and interferes with the work of its successor.
#[test]
fn resumed_planner_does_not_interfere() {
    let sim = ready_simulation(direct);
    add_job(&sim, "gang", non_idempotent(life_cycle::gang("a", 4, 30_000, 10)), 0);
    sim.run_for(Millis::from_secs(5));
    let frozen = pool_holder(&sim);
    sim.instances[frozen].frozen.store(true, Ordering::Relaxed);
    let start = sim.now();

    while held_pools(&sim) < 2 {
        assert!(
            sim.now().since(start) <= TAKEOVER_MAX,
            "no instance took the pool over within {TAKEOVER_MAX}"
        );
        sim.tick();
    }
    let takeover_time = sim.now().since(start);
    sim.run_for(Millis::from_secs(15));
    sim.instances[frozen].frozen.store(false, Ordering::Relaxed);
    let converged_in = convergence_time(&sim);
    assert!(run_until_done(&sim, OUTAGE_TIME));
    let evidence = sim.collect_evidence();

    println!("taken over after {takeover_time}, converged {converged_in} after the freeze");
    let starts = evidence
        .record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Started)
        .count();
    assert_eq!(starts, 4);
    assert_eq!(check(&evidence), []);
}

/// Guards against a burst of cancellations that exceeds the write limit, makes the session of an instance lapse, or does
/// not complete.
#[test]
fn cancellations_stay_under_write_limit() {
    let sim = ready_simulation(limited);
    let start = sim.now();
    life_cycle::submit_cancelled_jobs(&sim, CANCELLATION_COUNT);

    let mut peak = 0;
    while !sim.is_done() {
        assert!(
            sim.now().since(start) < OUTAGE_TIME,
            "the cancellations do not complete within the time limit"
        );
        peak = peak.max(peak_writes_per_second(&sim, 1));
        let now = sim.now();
        assert!(
            sim.instances.iter().all(|instance| instance.core.session.is_live(now)),
            "a session lapsed during the cancellations"
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

/// Guards against renewing task leases in an outage while an instance is silent, which may have been cut off together
/// with the endpoints, and against losing the job whose leases lapse.
#[test]
fn instance_death_in_outage_ends_task_leases() {
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
        "all jobs and requests end after the outage"
    );
    let evidence = sim.collect_evidence();
    let lapsed = evidence
        .record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Lapsed)
        .count();
    assert_eq!(lapsed, 4, "the lease of each gang member lapses once");
    assert_eq!(check(&evidence), []);
}

/// Guards against a ticket that removes the pool of a running job.
#[test]
fn pool_with_running_job_is_not_removed() {
    let sim = ready_simulation(direct);
    add_job(&sim, "gang", life_cycle::gang("a", 4, 20_000, 10), 0);
    sim.run_for(Millis::from_secs(5));
    let team =
        |count: u16| serde_json::json!({ "quota": 1000, "weight": count, "kinds": ["k", "c"], "guarantees": [] });
    let body = serde_json::json!({ "objects": { "team": { "a": team(1), "c": team(1) }, "pool": { "p": null } } });
    sim.add_actor(Operator::new(2, &body, 1, sim.now()));
    sim.run_for(Millis::from_secs(10));

    assert!(run_until_done(&sim, OUTAGE_TIME), "the gang ends within the time limit");
    let evidence = sim.collect_evidence();
    let removed = evidence.ticket_log.contains_key(&2);
    assert!(!removed, "the pool was removed although it has a running job");
    assert_eq!(check(&evidence), []);
}
