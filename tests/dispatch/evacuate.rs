//! Endpoints that leave at short notice, as on days when hosts reclaim their machines.

use std::sync::Arc;

use yuccaridge::dispatch::Start;
use yuccaridge::graph::Step;
use yuccaridge::port::{EndpointEntry, Outcome};

use crate::world::{BORN, World, entry, name, step};

/// One run that has come to a percentage after four seconds on one of two endpoints.
fn at_work(step: Step, percent: f64) -> (World, Start) {
    let mut world = World::new(2);
    world.submit("job", "normal", vec![step]);
    let starts = world.pass(50);
    world.confirm(&starts);
    let start = starts[0].clone();
    world.report(&start.endpoint, &[(&start.task, 1, 0.0)], &[]);
    world.pass(4_000);
    world.report(&start.endpoint, &[(&start.task, 1, percent)], &[]);
    (world, start)
}

/// The endpoint of a run says that it leaves.
fn drain(world: &mut World, endpoint: &Arc<str>, remaining_ms: u64) {
    let entry = EndpointEntry {
        draining: true,
        remaining_ms: Some(remaining_ms),
        born: BORN,
        ..entry("10.0.0.9:1", "r0")
    };
    world.dispatcher.update_endpoint(endpoint, Some(entry), world.now);
}

fn checkpointed() -> Step {
    Step {
        checkpoints: true,
        ..step(1, 1, 20_000)
    }
}

/// Guards against work that runs until its endpoint leaves and is lost with all that it has done.
#[test]
fn work_without_checkpoints_moves_at_once() {
    let (mut world, start) = at_work(step(1, 1, 20_000), 20.0);

    drain(&mut world, &start.endpoint, 2_000);
    world.pass(100);

    assert_eq!(world.stops.len(), 1);
}

/// Guards against a checkpoint that is not read before the endpoint leaves, and against a stop that comes too early.
#[test]
fn work_with_checkpoints_is_stopped_in_time_and_resumes_elsewhere() {
    let (mut world, start) = at_work(checkpointed(), 20.0);

    drain(&mut world, &start.endpoint, 2_000);
    world.pass(500);
    let early = world.stops.len();
    world.pass(600);
    let stopped = world.stops.len();
    world.report(&start.endpoint, &[], &[(1, &start.task, 1, Outcome::Stopped)]);
    let again = world.pass(100);

    assert_eq!((early, stopped), (0, 1));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].endpoint, start.endpoint);
}

/// Guards against stopping what ends before its endpoint leaves.
#[test]
fn work_that_ends_in_time_stays() {
    let (mut world, start) = at_work(step(1, 1, 20_000), 80.0);

    drain(&mut world, &start.endpoint, 2_000);
    world.pass(900);

    assert_eq!(world.stops, []);
}

/// Guards against a lasting task that is away for as long as it takes to notice that its endpoint has left.
#[test]
fn a_lasting_task_moves_when_its_endpoint_drains() {
    let lasting = Step {
        lasting: true,
        ..step(1, 1, 0)
    };
    let (mut world, start) = at_work(lasting, 100.0);

    drain(&mut world, &start.endpoint, 5_000);
    world.pass(100);
    world.report(&start.endpoint, &[], &[(1, &start.task, 1, Outcome::Stopped)]);
    let again = world.pass(100);

    assert_eq!(again.len(), 1);
    assert_ne!(again[0].endpoint, start.endpoint);
    assert_eq!(name("job.0.0.0"), again[0].task);
}
