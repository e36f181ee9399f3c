//! Urgent jobs that need room at once.

use std::sync::Arc;

use yuccaridge::dispatch::Start;
use yuccaridge::port::Outcome;

use crate::world::{World, gang, step};

/// All stops that were ordered since `from` are confirmed and listed as ended.
fn stop_all(world: &mut World, from: usize) {
    let stops = world.stops[from..].to_vec();
    let mut number = 100 * from as u64;
    for stop in stops {
        number += 1;
        world.dispatcher.stopped(&stop, Ok(world.now), world.now);
        let end = (number, &*stop.task, stop.run, Outcome::Stopped);
        world.report(&stop.endpoint, &[], &[end]);
    }
}

fn fill(world: &mut World, endpoints: u32) -> Vec<Start> {
    world.submit("batch", "batch", vec![step(endpoints, 8, 60_000)]);
    let starts = world.pass(50);
    world.confirm(&starts);
    starts
}

fn of(starts: &[Start], job: &str) -> usize {
    starts.iter().filter(|start| *start.job == *job).count()
}

/// Guards against two claims that count on the same room, wait for each other and start only when both have expired.
#[test]
fn two_claims_do_not_count_on_the_same_room() {
    let mut world = World::new(4);
    fill(&mut world, 4);
    world.submit("one", "urgent", vec![gang(1, 8, 2_000)]);
    world.round();
    world.submit("two", "urgent", vec![gang(1, 8, 2_000)]);
    world.round();
    assert_eq!(world.stops.len(), 2, "each claim stops a victim of its own");

    stop_all(&mut world, 0);
    let starts = world.pass(150);

    assert_eq!((of(&starts, "one"), of(&starts, "two")), (1, 1));
}

/// Guards against a guarantee that is met late because a claim waits for a victim that does not stop.
#[test]
fn a_claim_whose_victim_does_not_stop_takes_another() {
    let mut world = World::new(4);
    fill(&mut world, 4);
    world.submit("one", "urgent", vec![gang(1, 8, 2_000)]);
    world.round();
    let first = world.stops[0].clone();

    // The first victim never answers; all others stop at once.
    for _ in 0..30 {
        let from = world.stops.len();
        world.pass(50);
        let stops = world.stops.split_off(from);
        for stop in &stops {
            if stop.endpoint != first.endpoint {
                world.dispatcher.stopped(stop, Ok(world.now), world.now);
                world.report(&stop.endpoint, &[], &[(1, &stop.task, stop.run, Outcome::Stopped)]);
            }
        }
    }

    assert_eq!(of(&world.starts, "one"), 1);
}

/// Guards against stopping more than a claim needs.
#[test]
fn a_claim_spares_what_it_does_not_need() {
    let mut world = World::new(4);
    world.submit("batch", "batch", vec![step(32, 1, 60_000)]);
    let starts = world.pass(50);
    world.confirm(&starts);
    world.pass(2_000);

    world.submit("one", "urgent", vec![gang(1, 2, 4_000)]);
    world.round();

    assert_eq!(world.stops.len(), 2);
    let endpoint = Arc::clone(&world.stops[0].endpoint);
    assert!(world.stops.iter().all(|stop| stop.endpoint == endpoint));
}

/// Guards against giving the room that a claim has made to work that came before it in the queue of another priority.
#[test]
fn room_that_a_claim_made_is_kept_for_it() {
    let mut world = World::new(4);
    fill(&mut world, 4);
    world.submit("waiting", "normal", vec![gang(1, 8, 5_000)]);
    world.pass(50);
    world.submit("one", "urgent", vec![gang(2, 8, 2_000)]);
    world.round();
    let stops = world.stops.clone();
    assert_eq!(stops.len(), 2);

    // Only one of the two has ended so far.
    world.report(&stops[0].endpoint, &[], &[(1, &stops[0].task, 1, Outcome::Stopped)]);
    let early = world.pass(100);
    world.report(&stops[1].endpoint, &[], &[(1, &stops[1].task, 1, Outcome::Stopped)]);
    let starts = world.pass(100);

    assert_eq!(early, []);
    assert_eq!(of(&starts, "one"), 2);
}
