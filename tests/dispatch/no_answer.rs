//! Orders without an answer, and endpoints that cannot be reached.

use std::sync::Arc;

use yuccaridge::port::OrderError;

use crate::world::{World, name, step};

fn unreachable() -> OrderError {
    OrderError::NotSent("no route".to_owned())
}

/// Guards against leases that never expire because renewals that were not sent count as granted.
#[test]
fn a_hold_that_was_not_sent_renews_no_lease() {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let lost = Arc::clone(&starts[0].endpoint);
    world.dispatcher.update_endpoint(&lost, None, world.now);

    let mut again = Vec::new();
    for _ in 0..60 {
        if world.dispatcher.hold(&lost, world.now).is_some() {
            world.dispatcher.hold_failed(&lost, &unreachable(), world.now);
        }
        again = world.advance(250);
        if !again.is_empty() {
            break;
        }
    }

    assert_eq!(again.first().map(|start| start.run), Some(2));
}

/// Guards against a second run beside one whose lease was renewed by an unanswered hold.
#[test]
fn a_hold_without_an_answer_may_have_renewed_the_lease() {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let lost = Arc::clone(&starts[0].endpoint);
    world.advance(2_000);
    assert!(world.dispatcher.hold(&lost, world.now).is_some());
    world
        .dispatcher
        .hold_failed(&lost, &OrderError::Unknown("cut".to_owned()), world.now);

    // The hold may have renewed the lease for 10 s from the time at which it was sent.
    let again = world.advance(9_900);

    assert_eq!(again, []);
    let runs: Vec<u32> = world.advance(1_500).iter().map(|start| start.run).collect();
    assert_eq!(runs.first(), Some(&2));
}

/// Guards against freeing the resources of a start that its endpoint may still execute.
#[test]
fn a_start_without_an_answer_keeps_its_resources() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 8, 1_000)]);
    let starts = world.advance(50);
    for _ in 0..4 {
        world
            .dispatcher
            .started(&starts[0], Err(OrderError::Unknown("silent".to_owned())), world.now);
        world.advance(100);
    }
    world.submit("other", "batch", vec![step(1, 8, 1_000)]);

    let others = world.advance(500);

    assert!(others.iter().all(|start| start.job == name("job") && start.run == 1));
}

/// Guards against a second run of a start that was released and not sent yet: its lease counts from the release, also on
/// an endpoint whose last lease ended long ago.
#[test]
fn a_released_start_extends_the_lease_of_an_idle_endpoint() {
    let mut world = World::new(2);
    world.now += 60_000;
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);

    let starts = world.advance(2_500);

    assert!(!starts.is_empty());
    assert!(starts.iter().all(|start| start.run == 1), "{starts:?}");
}

/// Guards against sending a start whose run was given up after the start was decided.
#[test]
fn a_start_that_was_given_up_is_not_sent() {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(50);
    let before = world.dispatcher.lease_start(&starts[0], world.now);

    world.dispatcher.cancel("job", world.now);

    assert!(before.is_some());
    assert_eq!(world.dispatcher.lease_start(&starts[0], world.now), None);
}
