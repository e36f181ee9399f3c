//! Tasks that last until their job is cancelled and are started again however they end.

use yuccaridge::graph::Step;
use yuccaridge::port::Outcome;

use crate::world::{World, step};

fn lasting(accelerators: u64) -> Step {
    Step {
        lasting: true,
        ..step(1, accelerators, 0)
    }
}

/// Two endpoints with one accelerator free on the first and none on the second.
fn almost_full_pool() -> World {
    let mut world = World::new(2);
    for (job, label, accelerators) in [("first", "e0", 7), ("second", "e1", 8)] {
        world.submit(job, "normal", vec![lasting(accelerators)]);
        let starts = world.advance(50);
        assert_eq!(&*starts[0].endpoint, label);
        world.confirm(&starts);
    }
    world
}

/// Guards against a lasting task that isn't started again after it failed on every endpoint with room: it waited for a full
/// one on which it had not failed.
#[test]
fn a_lasting_task_restarts_where_it_failed_rather_than_wait_for_a_full_endpoint() {
    let mut world = almost_full_pool();
    world.submit("job", "normal", vec![lasting(1)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    assert_eq!((starts.len(), &*starts[0].endpoint), (1, "e0"));

    world.now += 8_000;
    let others = ("first.0.0.0", 1, 0.0);
    world.report("e0", &[others], &[(1, "job.0.0.0", 1, Outcome::Failed)]);
    let again = world.advance(6_000);

    let runs: Vec<_> = again
        .iter()
        .map(|start| (&*start.task, start.run, &*start.endpoint))
        .collect();
    assert_eq!(runs.first(), Some(&("job.0.0.0", 2, "e0")));
}

/// Guards against a lasting task that fails at once and is started again many times a second.
#[test]
fn a_lasting_task_that_fails_at_once_is_started_again_after_a_pause() {
    let mut world = almost_full_pool();
    world.submit("job", "normal", vec![lasting(1)]);
    let mut started_at = Vec::new();
    let mut number = 0;
    let end = world.now + 10_000;
    while world.now < end {
        for start in world.advance(10) {
            started_at.push(world.now);
            world.confirm(std::slice::from_ref(&start));
            number += 1;
            let ended = [(number, &*start.task, start.run, Outcome::Failed)];
            world.report("e0", &[("first.0.0.0", 1, 0.0)], &ended);
        }
    }

    assert!((4..=8).contains(&started_at.len()), "{started_at:?}");
}
