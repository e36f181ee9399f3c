//! Orders and endpoints without an answer.

use std::sync::Arc;

use yuccaridge::port::OrderError;

use crate::world::{World, name, step};

fn unreachable() -> OrderError {
    OrderError::NotSent("no route".to_owned())
}

/// Guards against leases that never pass because renewals that were not sent count as granted.
#[test]
fn a_hold_that_was_not_sent_renews_nothing() {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.pass(50);
    world.confirm(&starts);
    let lost = Arc::clone(&starts[0].endpoint);
    world.dispatcher.update_endpoint(&lost, None, world.now);

    let mut again = Vec::new();
    for _ in 0..60 {
        if world.dispatcher.hold(&lost, world.now).is_some() {
            world.dispatcher.hold_failed(&lost, &unreachable());
        }
        again = world.pass(250);
        if !again.is_empty() {
            break;
        }
    }

    assert_eq!(again.first().map(|start| start.run), Some(2));
}

/// Guards against a second run beside one whose lease was renewed without an answer.
#[test]
fn a_hold_without_an_answer_may_have_renewed() {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);
    let starts = world.pass(50);
    world.confirm(&starts);
    let lost = Arc::clone(&starts[0].endpoint);
    world.pass(2_000);
    assert!(world.dispatcher.hold(&lost, world.now).is_some());
    world
        .dispatcher
        .hold_failed(&lost, &OrderError::Unknown("cut".to_owned()));

    // The hold may have renewed the lease for ten seconds from when it was sent.
    let again = world.pass(9_900);

    assert_eq!(again, []);
    let runs: Vec<u32> = world.pass(1_500).iter().map(|start| start.run).collect();
    assert_eq!(runs.first(), Some(&2));
}

/// Guards against a start that is dropped although an endpoint may still carry it out.
#[test]
fn a_start_without_an_answer_keeps_its_room() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 8, 1_000)]);
    let starts = world.pass(50);
    for _ in 0..4 {
        world
            .dispatcher
            .started(&starts[0], Err(OrderError::Unknown("silent".to_owned())), world.now);
        world.pass(100);
    }
    world.submit("other", "batch", vec![step(1, 8, 1_000)]);

    let others = world.pass(500);

    assert!(others.iter().all(|start| start.job == name("job") && start.run == 1));
}
