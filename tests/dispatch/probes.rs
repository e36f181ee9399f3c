//! Endpoints without runs that have left several holds without an answer.

use yuccaridge::dispatch::Start;
use yuccaridge::port::{OrderError, Refusal};

use crate::world::{BORN, World, name, step};

fn unwell() -> OrderError {
    OrderError::Refused {
        refusal: Refusal::Unwell,
        clock_ms: None,
    }
}

/// Passes the time until a start is sent.
fn next_start(world: &mut World) -> Start {
    let since = world.now;
    loop {
        if let Some(start) = world.advance(10).pop() {
            return start;
        }
        assert!(world.now < since + 60_000, "no start in a minute");
    }
}

/// Lets an endpoint that works on nothing refuse two starts and the holds sent beside them.
fn silence(world: &mut World, endpoint: &str, job: &str) {
    world.submit(job, "normal", vec![step(1, 1, 1_000)]);
    for _ in 0..2 {
        let start = next_start(world);
        assert!(world.dispatcher.hold(&name(endpoint), world.now).is_some());
        world.dispatcher.started(&start, Err(unwell()), world.now);
        world.dispatcher.hold_failed(&name(endpoint), &unwell(), world.now);
    }
}

/// Passes `span_ms` in which all endpoints refuse their holds; returns when holds were sent.
fn refuse_holds(world: &mut World, span_ms: u64) -> Vec<u64> {
    let names: Vec<_> = world.dispatcher.endpoints().keys().cloned().collect();
    let mut sent = Vec::new();
    let end = world.now + span_ms;
    while world.now < end {
        for name in &names {
            if world.dispatcher.hold(name, world.now).is_some() {
                sent.push(world.now);
                world.dispatcher.hold_failed(name, &unwell(), world.now);
            }
        }
        world.now += 2;
    }
    sent
}

/// Milliseconds until the endpoint is asked again, and answers.
fn time_to_answer(world: &mut World, endpoint: &str) -> u64 {
    let since = world.now;
    while world.dispatcher.hold(&name(endpoint), world.now).is_none() {
        world.now += 1;
        assert!(world.now < since + 60_000, "the endpoint is not asked any more");
    }
    world.report(endpoint, &[], &[]);
    world.now - since
}

/// Guards against idle endpoints that are never used again because only their answer could open them and nothing asked
/// for it: a job that requires them never ran.
#[test]
fn a_silent_endpoint_without_runs_is_asked_until_it_answers() {
    let mut world = World::new(1);
    silence(&mut world, "e0", "job");
    let while_silent = world.advance(5_000);

    let asked_after_ms = time_to_answer(&mut world, "e0");
    let starts = world.advance(100);

    assert_eq!(while_silent, []);
    assert!(asked_after_ms <= 2_000, "{asked_after_ms} ms");
    assert_eq!(starts.len(), 1);
}

/// Guards against requests to silent endpoints that take the leader's processor time: on a fleet of 1,100, a third of them
/// was asked more than a thousand times a second.
#[test]
fn holds_of_many_silent_endpoints_are_spread_out() {
    let mut world = World::empty();
    for index in 0..366 {
        world.enter(&format!("e{index:03}"), BORN);
    }
    world.advance(100);

    refuse_holds(&mut world, 4_000);
    let sent = refuse_holds(&mut world, 10_000);

    let most_at_once = sent.chunk_by(|a, b| a == b).map(<[u64]>::len).max();
    assert!(sent.len() <= 10 * 250, "{} holds in 10 s", sent.len());
    assert!(sent.len() >= 366 * 10 / 2, "{} holds in 10 s", sent.len());
    assert_eq!(most_at_once, Some(1));
}

/// Guards against work that is started again and again on an endpoint that goes down whenever it gets some, and against
/// one that stays closed for long after it has recovered.
#[test]
fn an_endpoint_that_falls_silent_repeatedly_reopens_later() {
    let mut world = World::new(1);
    let mut pauses = Vec::new();
    for round in 0..5 {
        silence(&mut world, "e0", &format!("job{round}"));
        time_to_answer(&mut world, "e0");
        let answered_at = world.now;
        let start = next_start(&mut world);
        pauses.push(world.now - answered_at);
        world.dispatcher.started(&start, Err(unwell()), world.now);
        world.dispatcher.cancel(&start.job, world.now);
    }

    assert!(pauses.is_sorted() && pauses[0] < pauses[4], "{pauses:?}");
    assert!(pauses[4] >= 500, "{pauses:?}");
    assert!(pauses[4] <= 1_500, "{pauses:?}");
}
