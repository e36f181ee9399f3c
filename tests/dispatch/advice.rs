//! Queues with advice: their steps may run only on endpoints that the advice service allows.

use std::sync::Arc;

use yuccaridge::dispatch::AdviceRequest;
use yuccaridge::port::{Advice, OrderError, Outcome, Refusal};

use crate::world::{World, entry, name, step};

fn allow(world: &mut World, request: &AdviceRequest, endpoints: &[&str]) {
    let allowed = endpoints.iter().map(|endpoint| {
        let ticket: Arc<str> = Arc::from(format!("for {endpoint}"));
        (name(endpoint), ticket)
    });
    let advice = Advice {
        allowed: allowed.collect(),
        valid_ms: None,
    };
    world.dispatcher.advised(request, Ok(advice), world.now);
}

/// Guards against starts without a ticket, and on endpoints that the service has not allowed.
#[test]
fn a_task_starts_with_a_ticket_on_an_allowed_endpoint() {
    let mut world = World::new(4);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);

    let before = world.advance(500);
    let request = world.advice_requests[0].clone();
    allow(&mut world, &request, &["e2"]);
    let starts = world.advance(100);

    assert_eq!(before, []);
    assert_eq!(world.advice_requests.len(), 1);
    assert_eq!((&*request.step, request.endpoints.len()), ("job.0.0", 4));
    assert_eq!(starts.len(), 1);
    assert_eq!((&*starts[0].endpoint, &*starts[0].ticket), ("e2", "for e2"));
}

/// Guards against the use of expired tickets, and against further requests for endpoints that were refused.
#[test]
fn expired_tickets_are_renewed_on_endpoints_with_free_resources() {
    let mut world = World::new(3);
    world.submit("first", "normal", vec![step(3, 8, 20_000)]);
    let first = world.advance(50);
    world.confirm(&first);
    world.submit("job", "advised", vec![step(1, 8, 1_000)]);
    world.advance(50);
    let request = world.advice_requests[0].clone();
    allow(&mut world, &request, &["e1"]);

    let while_full = world.advance(4_000);
    let requests = world.advice_requests.len();
    let start = first
        .iter()
        .find(|start| *start.endpoint == *"e1")
        .expect("a start there");
    world.report("e1", &[], &[(1, &start.task, 1, Outcome::Done)]);
    world.advance(100);
    let second = world.advice_requests[1].clone();
    allow(&mut world, &second, &["e1"]);
    let starts = world.advance(100);

    assert_eq!((while_full.len(), requests), (0, 1));
    assert_eq!(second.endpoints, [name("e1")]);
    assert_eq!((starts.len(), &*starts[0].endpoint), (1, "e1"));
}

/// Guards against a job that waits forever because all endpoints that existed at first were refused.
#[test]
fn advice_is_requested_for_new_endpoints() {
    let mut world = World::new(2);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.advance(50);
    let request = world.advice_requests[0].clone();
    allow(&mut world, &request, &[]);

    world.advance(1_000);
    let requests = world.advice_requests.len();
    let fresh = entry("10.0.0.7:1", "r0");
    world.dispatcher.update_endpoint(&name("e7"), Some(fresh), world.now);
    world.report("e7", &[], &[]);
    world.advance(200);

    assert_eq!(requests, 1);
    assert_eq!(world.advice_requests[1].endpoints, [name("e7")]);
}

/// Guards against a start that is repeated with a ticket that its endpoint has refused.
#[test]
fn advice_is_requested_again_for_a_refused_ticket() {
    let mut world = World::new(1);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.advance(50);
    let request = world.advice_requests[0].clone();
    allow(&mut world, &request, &["e0"]);
    let starts = world.advance(50);

    let refused = OrderError::Refused {
        refusal: Refusal::Ticket,
        clock_ms: None,
    };
    world.dispatcher.started(&starts[0], Err(refused), world.now);
    let second = world.advance(500);

    assert_eq!(second, []);
    assert_eq!(world.advice_requests.len(), 2);
}

/// Guards against flooding a service that does not answer with requests.
#[test]
fn a_failed_request_is_repeated_after_a_pause() {
    let mut world = World::new(1);
    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.advance(50);
    let request = world.advice_requests[0].clone();

    world
        .dispatcher
        .advised(&request, Err(OrderError::Unknown("silent".to_owned())), world.now);
    world.advance(300);
    let early_requests = world.advice_requests.len();
    world.advance(400);

    assert_eq!((early_requests, world.advice_requests.len()), (1, 2));
}

/// Guards against a loop of requests whose answers nobody uses that looks like a slow service to operators.
#[test]
fn answers_that_start_nothing_are_counted() {
    let mut world = World::new(1);
    world.submit("job", "advised", vec![step(1, 8, 1_000)]);
    world.advance(50);
    let request = world.advice_requests[0].clone();
    world.submit("other", "normal", vec![step(1, 8, 1_000)]);
    let other = world.advance_to_start();
    allow(&mut world, &request, &["e0"]);

    world.advance(4_000);
    world.report("e0", &[], &[(1, &other[0].task, 1, Outcome::Done)]);
    world.advance(100);
    let second = world.advice_requests[1].clone();
    allow(&mut world, &second, &["e0"]);
    let starts = world.advance(100);
    let counts = world.dispatcher.take_counts();

    assert_eq!((&*starts[0].job, world.advice_requests.len()), ("job", 2));
    assert_eq!((counts.advice_unused, counts.advice_times.len()), (1, 2));
}

/// Guards against a step whose calls fail again and again, and keep the calls for other steps from being sent.
#[test]
fn a_step_that_the_service_declines_waits_ever_longer() {
    let mut world = World::new(1);
    world.submit("job", "advised", vec![step(1, 1, 60_000)]);
    let declined = OrderError::Refused {
        refusal: Refusal::Bad,
        clock_ms: None,
    };

    for _ in 0..400 {
        world.advance(50);
        for request in std::mem::take(&mut world.advice_requests) {
            world.dispatcher.advised(&request, Err(declined.clone()), world.now);
        }
    }
    let failed = world.dispatcher.take_counts().advice_failed;
    world.submit("other", "advised", vec![step(1, 1, 1_000)]);
    world.advance(50);

    // After 0.5, 1, 2, 4 and 8 s.
    assert_eq!(failed, 6);
    assert_eq!(&*world.advice_requests[0].step, "other.0.0");
}

/// Guards against starts with expired tickets while a new configuration has a longer validity than the service.
#[test]
fn the_validity_in_the_answer_holds() {
    let mut world = World::new(1);
    world.submit("occupant", "normal", vec![step(1, 8, 1_000)]);
    let occupant = world.advance_to_start();
    world.submit("job", "advised", vec![step(1, 8, 1_000)]);
    world.advance(50);
    let request = world.advice_requests[0].clone();
    let advice = Advice {
        allowed: vec![(name("e0"), name("for e0"))],
        valid_ms: Some(1_000),
    };
    world.dispatcher.advised(&request, Ok(advice), world.now);

    world.advance(900);
    world.report("e0", &[], &[(1, &occupant[0].task, 1, Outcome::Done)]);
    let starts = world.advance(100);

    assert_eq!((starts.len(), world.advice_requests.len()), (0, 2));
}

/// Guards against a pause of all calls when one that was lost long ago fails, although the service has answered since.
#[test]
fn the_failure_of_a_late_call_holds_nothing_up() {
    let mut world = World::new(2);
    world.submit("job", "advised", vec![step(1, 8, 60_000)]);
    world.advance(2_000);
    let (lost, second) = (world.advice_requests[0].clone(), world.advice_requests[1].clone());
    allow(&mut world, &second, &["e0"]);
    let starts = world.advance(50);

    let no_answer = OrderError::Unknown("no response in time".to_owned());
    world.dispatcher.advised(&lost, Err(no_answer), world.now);
    world.submit("other", "advised", vec![step(1, 8, 1_000)]);
    world.advance(50);

    assert_eq!(starts.len(), 1);
    assert_eq!(&*world.advice_requests[2].step, "other.0.0");
}
