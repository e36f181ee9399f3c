//! Sections of the demo.

use std::thread;
use std::time::Instant;

use serde_json::{Value, json};
use yuccaridge::client::Client;
use yuccaridge::job::Outcome;
use yuccaridge::name::{JobId, PoolName};

use super::{DemoError, Site};
use crate::record::TaskEvent;

/// Maximum time to the start of urgent guaranteed work, in seconds.
const RECLAIM_MAX_S: f64 = 2.6;
const ENDPOINT_COUNT: u16 = 4;

fn print_note(text: &str) {
    println!("  {text}");
}

fn print_heading(number: u8, title: &str) {
    println!("\n{number}. {title}");
}

/// Prints a statement if it holds; otherwise fails with it.
fn check(holds: bool, statement: &str) -> Result<(), DemoError> {
    if !holds {
        return Err(DemoError::CheckFailed(format!("check failed: {statement}")));
    }
    println!("  [ok] {statement}");
    Ok(())
}

fn id(text: &str) -> Result<JobId, DemoError> {
    Ok(text.parse()?)
}

fn check_failed(text: &str) -> DemoError {
    DemoError::CheckFailed(text.to_owned())
}

fn ticket(quota: u32) -> Vec<u8> {
    let guarantee = json!({ "pool": "south", "level": "worker", "accelerators": 8, "count": 1 });
    let body = json!({ "objects": {
        "pool": { "south": { "domains": ["south"] } },
        "kind": {
            "photo-check": { "class": "batch", "about": "compares part photos with the catalogue" },
            "stock-count": { "class": "call", "about": "takes a shop's evening count" },
        },
        "team": {
            "norden": { "quota": quota, "kinds": ["photo-check", "stock-count"], "guarantees": [guarantee] },
            "dakar": { "quota": 64, "kinds": ["photo-check", "stock-count"] },
        },
    } });
    body.to_string().into_bytes()
}

fn photo_check(team: &str, members: u16, accelerators: u16, work_ms: u64, urgent: bool) -> Vec<u8> {
    let body = json!({
        "team": team, "kind": "photo-check", "class": "batch", "idempotent": true, "checkpoints": true,
        "urgent": urgent, "run_time_s": work_ms / 1000,
        "shape": { "members": members, "accelerators": accelerators, "adjacent": "rack" },
        "payload": { "work_ms": work_ms, "answer": "checked", "checkpoint_ms": 300 },
    });
    body.to_string().into_bytes()
}

fn stock_count(work_ms: u64, idempotent: bool) -> Vec<u8> {
    let body = json!({
        "team": "norden", "kind": "stock-count", "class": "call", "idempotent": idempotent,
        "payload": { "work_ms": work_ms, "answer": { "rods": 12 }, "parts": 3 },
    });
    body.to_string().into_bytes()
}

fn answer(outcome: Option<Outcome>) -> Option<Value> {
    match outcome {
        Some(Outcome::Completed { answer }) => Some(answer),
        _ => None,
    }
}

/// Runs all sections; stops at the first failed check.
pub fn run() -> Result<(), DemoError> {
    println!(
        "Starting a platform stand-in, {ENDPOINT_COUNT} endpoints with 8 accelerators each, and the instances a, b and c."
    );
    let mut site = Site::start(ENDPOINT_COUNT, &["a", "b", "c"])?;
    let pool: PoolName = "south".parse()?;
    first_ticket(&site, &pool)?;
    one_call(&site)?;
    gang(&site)?;
    reclaim(&site)?;
    cancel_job(&site)?;
    conflicting_tickets(&site)?;
    kill_planner(&mut site, &pool)?;
    drain_instance(&mut site, &pool)?;
    site.stop();
    println!("\nAll checks passed.");
    Ok(())
}

fn first_ticket(site: &Site, pool: &PoolName) -> Result<(), DemoError> {
    print_heading(1, "A change ticket");
    print_note("Ticket 1 creates a pool, two kinds of jobs and two teams; norden is guaranteed one whole endpoint.");
    let start = Instant::now();
    site.instances[0].client.put_ticket(1, &ticket(32))?;
    let took = start.elapsed().as_millis();
    let mut numbers = Vec::new();
    for instance in &site.instances {
        numbers.push(instance.client.catalog()?.number);
    }
    check(
        numbers == [1, 1, 1],
        &format!("it is in force on all three instances, {took} ms after it was sent"),
    )?;
    site.wait_until("no instance plans the pool", |site| site.planner(pool).is_some())
}

fn one_call(site: &Site) -> Result<(), DemoError> {
    print_heading(2, "A call");
    let job = id("count-1")?;
    let view = site.instances[1].client.submit(&job, &stock_count(20, false), None)?;
    let part = json!({ "rods": 12 });
    check(
        answer(view.outcome) == Some(json!([part, part, part])),
        "all three parts of the answer arrived in order",
    )?;
    site.instances[2].client.submit(&job, &stock_count(20, false), None)?;
    check(
        site.count(&job, TaskEvent::Started) == 1,
        "submitted again to another instance, it did not run a second time",
    )
}

fn gang(site: &Site) -> Result<(), DemoError> {
    print_heading(3, "A gang");
    let job = id("photos-1")?;
    site.instances[0]
        .client
        .submit(&job, &photo_check("dakar", 4, 4, 400, false), None)?;
    let view = site.wait_for_outcome(&site.instances[2].client, &job)?;
    let record = site.record(&job);
    let last_held = record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Held)
        .map(|entry| entry.at)
        .max();
    let first_started = record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Started)
        .map(|entry| entry.at)
        .min();
    check(
        last_held <= first_started,
        "no member started before all four held their 4 accelerators",
    )?;
    check(
        answer(view.outcome) == Some(json!(vec!["checked"; 4])),
        "the answer has all four members' parts",
    )
}

fn reclaim(site: &Site) -> Result<(), DemoError> {
    print_heading(4, "A reclaimed guarantee");
    print_note(
        "Dakar borrows all 32 accelerators with 4 jobs; then norden submits an urgent job for its guaranteed endpoint.",
    );
    let client = &site.instances[0].client;
    let mut borrowers = Vec::new();
    for number in 0..ENDPOINT_COUNT {
        let job = id(&format!("borrower-{number}"))?;
        client.submit(&job, &photo_check("dakar", 1, 8, 8000, false), None)?;
        borrowers.push(job);
    }
    site.wait_until("the borrowers did not start", |site| {
        borrowers.iter().all(|job| site.count(job, TaskEvent::Started) == 1)
    })?;
    let urgent = id("urgent-1")?;
    let start = Instant::now();
    client.submit(&urgent, &photo_check("norden", 1, 8, 200, true), None)?;
    site.wait_until("the urgent job did not start", |site| {
        site.count(&urgent, TaskEvent::Started) == 1
    })?;
    let took = start.elapsed().as_secs_f64();
    check(
        took <= RECLAIM_MAX_S,
        &format!("the urgent job started {took:.2} s later; the bound is {RECLAIM_MAX_S} s"),
    )?;
    let stopped: usize = borrowers.iter().map(|job| site.count(job, TaskEvent::Stopped)).sum();
    check(stopped == 1, "exactly one borrower was stopped, with a checkpoint")?;
    for job in &borrowers {
        site.wait_for_outcome(client, job)?;
    }
    let resumed = borrowers.iter().flat_map(|job| site.record(job));
    let resumed = resumed
        .filter(|entry| entry.event == TaskEvent::Started && entry.resumed)
        .count();
    check(
        resumed == 1,
        "it resumed from the checkpoint afterwards, and all borrowers completed",
    )
}

fn cancel_job(site: &Site) -> Result<(), DemoError> {
    print_heading(5, "A cancelled job");
    let job = id("photos-2")?;
    site.instances[0]
        .client
        .submit(&job, &photo_check("dakar", 2, 8, 60_000, false), None)?;
    site.wait_until("the job did not start", |site| {
        site.count(&job, TaskEvent::Started) == 2
    })?;
    site.instances[1].client.cancel(&job)?;
    let view = site.wait_for_outcome(&site.instances[2].client, &job)?;
    check(
        view.outcome == Some(Outcome::Cancelled { ran: true }),
        "the outcome is that it was cancelled after it had started",
    )?;
    check(
        site.count(&job, TaskEvent::Stopped) == 2,
        "both members had stopped by then",
    )
}

fn conflicting_tickets(site: &Site) -> Result<(), DemoError> {
    print_heading(6, "Two operators submit ticket 2 at the same time");
    let operators = [(40, 0), (48, 1)].map(|(quota, index)| {
        let client = site.instances[index].client.clone();
        (quota, thread::spawn(move || client.put_ticket(2, &ticket(quota))))
    });
    let mut accepted = Vec::new();
    for (quota, operator) in operators {
        match operator
            .join()
            .map_err(|_panic| check_failed("an operator thread panicked"))?
        {
            Ok(_) => accepted.push(quota),
            Err(error) => print_note(&format!("the other operator gets the error: {error}")),
        }
    }
    check(accepted.len() == 1, "exactly one of the two tickets was accepted")?;
    let mut quotas = Vec::new();
    for instance in &site.instances {
        let teams = instance.client.catalog()?.teams;
        quotas.extend(
            teams
                .iter()
                .find(|(name, _)| name.as_str() == "norden")
                .map(|(_, team)| team.quota),
        );
    }
    check(
        quotas == [accepted[0]; 3],
        "the accepted ticket is in force on all instances",
    )
}

fn kill_planner(site: &mut Site, pool: &PoolName) -> Result<(), DemoError> {
    print_heading(7, "The planning instance dies");
    let job = id("photos-3")?;
    let other = site
        .non_planner(pool)
        .ok_or_else(|| check_failed("there is no instance that does not plan the pool"))?
        .client
        .clone();
    other.submit(&job, &photo_check("dakar", 4, 8, 6000, false), None)?;
    site.wait_until("the job did not start", |site| {
        site.count(&job, TaskEvent::Started) == 4
    })?;
    let killed = site
        .planner(pool)
        .ok_or_else(|| check_failed("no instance plans the pool"))?
        .name
        .clone();
    if let Some(daemon) = site.take_daemon(&killed) {
        daemon.abort();
    }
    let start = Instant::now();
    site.wait_until("no instance took over the pool", |site| site.planner(pool).is_some())?;
    print_note(&format!(
        "instance {killed} was killed; another one plans the pool {:.1} s later",
        start.elapsed().as_secs_f64()
    ));
    let view = site.wait_for_outcome(&other, &job)?;
    check(
        answer(view.outcome).is_some(),
        "the job that the killed instance had started completed",
    )?;
    check(
        site.count(&job, TaskEvent::Started) == 4,
        "each of its four members started exactly once",
    )
}

fn drain_instance(site: &mut Site, pool: &PoolName) -> Result<(), DemoError> {
    print_heading(8, "A planned stop");
    let leaving = site
        .planner(pool)
        .ok_or_else(|| check_failed("no instance plans the pool"))?;
    let (name, client): (_, Client) = (leaving.name.clone(), leaving.client.clone());
    let job = id("count-2")?;
    let caller = {
        let job = job.clone();
        thread::spawn(move || client.submit(&job, &stock_count(2000, false), None))
    };
    site.wait_until("the call did not start", |site| {
        site.count(&job, TaskEvent::Started) == 1
    })?;
    print_note(&format!(
        "instance {name} is told to stop while a call of 2 s runs there"
    ));
    if let Some(daemon) = site.take_daemon(&name) {
        daemon.drain();
    }
    let view = caller
        .join()
        .map_err(|_panic| check_failed("the caller thread panicked"))??;
    check(
        answer(view.outcome).is_some(),
        "the call was answered in full before the instance ended",
    )?;
    check(site.planner(pool).is_some(), "the remaining instance plans the pool")
}
