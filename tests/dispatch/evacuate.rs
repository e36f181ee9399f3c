//! Endpoints that leave at short notice, as when hosts reclaim their machines.

use std::sync::Arc;

use yuccaridge::dispatch::Start;
use yuccaridge::graph::Step;
use yuccaridge::port::{EndpointEntry, Outcome};

use crate::world::{BORN, World, entry, name, step};

/// A job with one run on one of two endpoints that has reached `percent` after 4 s.
fn running_job(step: Step, percent: f64) -> (World, Start) {
    let mut world = World::new(2);
    world.submit("job", "normal", vec![step]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let start = starts[0].clone();
    world.report(&start.endpoint, &[(&start.task, 1, 0.0)], &[]);
    world.advance(4_000);
    world.report(&start.endpoint, &[(&start.task, 1, percent)], &[]);
    (world, start)
}

/// Announces that an endpoint leaves in `remaining_ms`.
fn drain(world: &mut World, endpoint: &Arc<str>, remaining_ms: u64) {
    let entry = EndpointEntry {
        draining: true,
        remaining_ms: Some(remaining_ms),
        born: BORN,
        ..entry("10.0.0.9:1", "r0")
    };
    world.dispatcher.update_endpoint(endpoint, Some(entry), world.now);
}

fn checkpointed_step() -> Step {
    Step {
        checkpoints: true,
        ..step(1, 1, 20_000)
    }
}

/// Guards against a run without checkpoints that continues until its endpoint leaves and loses all of its work.
#[test]
fn a_run_without_checkpoints_is_stopped_at_once() {
    let (mut world, start) = running_job(step(1, 1, 20_000), 20.0);

    drain(&mut world, &start.endpoint, 2_000);
    world.advance(100);

    assert_eq!(world.stops.len(), 1);
}

/// Guards against a checkpoint that is read too late, after the endpoint has left, and against a stop that comes too
/// early.
#[test]
fn a_checkpointed_run_is_stopped_in_time_and_resumes_elsewhere() {
    let (mut world, start) = running_job(checkpointed_step(), 20.0);

    drain(&mut world, &start.endpoint, 2_000);
    world.advance(500);
    let early = world.stops.len();
    world.advance(600);
    let stopped = world.stops.len();
    world.report(&start.endpoint, &[], &[(1, &start.task, 1, Outcome::Stopped)]);
    let restarted = world.advance(100);

    assert_eq!((early, stopped), (0, 1));
    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].endpoint, start.endpoint);
}

/// Guards against stopping a run that ends before its endpoint leaves.
#[test]
fn a_run_that_ends_in_time_is_not_stopped() {
    let (mut world, start) = running_job(step(1, 1, 20_000), 80.0);

    drain(&mut world, &start.endpoint, 2_000);
    world.advance(900);

    assert_eq!(world.stops, []);
}

/// Guards against a gap in a lasting task that is moved only after its endpoint was found to have left.
#[test]
fn a_lasting_task_moves_when_its_endpoint_drains() {
    let lasting = Step {
        lasting: true,
        ..step(1, 1, 0)
    };
    let (mut world, start) = running_job(lasting, 100.0);

    drain(&mut world, &start.endpoint, 5_000);
    world.advance(100);
    world.report(&start.endpoint, &[], &[(1, &start.task, 1, Outcome::Stopped)]);
    let restarted = world.advance(100);

    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].endpoint, start.endpoint);
    assert_eq!(name("job.0.0.0"), restarted[0].task);
}
