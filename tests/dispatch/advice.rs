//! Queues whose steps may run on some endpoints only, which a service knows.

use std::sync::Arc;

use yuccaridge::dispatch::AdviceRequest;
use yuccaridge::port::{Advice, OrderError, Outcome, Refusal};

use crate::world::{World, entry, name, step};

fn allow(world: &mut World, ask: &AdviceRequest, endpoints: &[&str]) {
    let allowed = endpoints.iter().map(|endpoint| {
        let ticket: Arc<str> = Arc::from(format!("for {endpoint}"));
        (name(endpoint), ticket)
    });
    let advice = Advice {
        allowed: allowed.collect(),
    };
    world.dispatcher.advised(ask, Ok(advice), world.now);
}

/// Guards against starts without a ticket, and on endpoints that may not run the step.
#[test]
fn a_task_starts_with_its_ticket_where_it_may() {
    let mut world = World::new(4);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);

    let early = world.pass(500);
    let ask = world.asks[0].clone();
    allow(&mut world, &ask, &["e2"]);
    let starts = world.pass(100);

    assert_eq!(early, []);
    assert_eq!(world.asks.len(), 1);
    assert_eq!((&*ask.step, ask.endpoints.len()), ("job.0.0", 4));
    assert_eq!(starts.len(), 1);
    assert_eq!((&*starts[0].endpoint, &*starts[0].ticket), ("e2", "for e2"));
}

/// Guards against tickets that are used after their time, and against asking about endpoints that were refused before.
#[test]
fn passed_tickets_are_renewed_where_there_is_room() {
    let mut world = World::new(3);
    world.submit("first", "normal", vec![step(3, 8, 20_000)]);
    let first = world.pass(50);
    world.confirm(&first);
    world.submit("job", "advised", vec![step(1, 8, 1_000)]);
    world.pass(50);
    let ask = world.asks[0].clone();
    allow(&mut world, &ask, &["e1"]);

    let full = world.pass(4_000);
    let asked = world.asks.len();
    let start = first
        .iter()
        .find(|start| *start.endpoint == *"e1")
        .expect("a start there");
    world.report("e1", &[], &[(1, &start.task, 1, Outcome::Done)]);
    world.pass(100);
    let again = world.asks[1].clone();
    allow(&mut world, &again, &["e1"]);
    let starts = world.pass(100);

    assert_eq!((full.len(), asked), (0, 1));
    assert_eq!(again.endpoints, [name("e1")]);
    assert_eq!((starts.len(), &*starts[0].endpoint), (1, "e1"));
}

/// Guards against a job that waits for ever since all endpoints that were there at first may not run it.
#[test]
fn new_endpoints_are_asked_about() {
    let mut world = World::new(2);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.pass(50);
    let ask = world.asks[0].clone();
    allow(&mut world, &ask, &[]);

    world.pass(1_000);
    let asked = world.asks.len();
    let fresh = entry("10.0.0.7:1", "r0");
    world.dispatcher.update_endpoint(&name("e7"), Some(fresh), world.now);
    world.report("e7", &[], &[]);
    world.pass(200);

    assert_eq!(asked, 1);
    assert_eq!(world.asks[1].endpoints, [name("e7")]);
}

/// Guards against a start that is repeated with a ticket that its endpoint does not take.
#[test]
fn a_refused_ticket_is_asked_for_again() {
    let mut world = World::new(1);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.pass(50);
    let ask = world.asks[0].clone();
    allow(&mut world, &ask, &["e0"]);
    let starts = world.pass(50);

    let refused = OrderError::Refused {
        refusal: Refusal::Ticket,
        clock_ms: None,
    };
    world.dispatcher.started(&starts[0], Err(refused), world.now);
    let again = world.pass(500);

    assert_eq!(again, []);
    assert_eq!(world.asks.len(), 2);
}

/// Guards against a service that is asked without end while it does not answer.
#[test]
fn a_question_without_an_answer_is_repeated_after_a_pause() {
    let mut world = World::new(1);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.pass(50);
    let ask = world.asks[0].clone();

    world
        .dispatcher
        .advised(&ask, Err(OrderError::Unknown("silent".to_owned())), world.now);
    world.pass(300);
    let soon = world.asks.len();
    world.pass(400);

    assert_eq!((soon, world.asks.len()), (1, 2));
}
