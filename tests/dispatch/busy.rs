//! A leader for which scheduling takes long: a large fleet, a long backlog, or a small share of a core.

use std::time::Duration;

use crate::world::{World, step};

/// Guards against a leader that spends all of its time on scheduling rounds: in a burst on 1,100 endpoints each took
/// longer than the time until the next one, and neither reports nor the renewal of leadership had their turn.
#[test]
fn rounds_that_take_long_are_run_less_often() {
    let mut world = World::new(4);
    world.submit("first", "batch", vec![step(1, 1, 1_000)]);
    world.round();
    for _ in 0..20 {
        world.advance(100);
        world.dispatcher.record_step_time(Duration::from_millis(8), world.now);
    }

    world.submit("second", "batch", vec![step(1, 1, 1_000)]);
    let wait_ms = world.dispatcher.ms_until_step(world.now);
    let soon = world.dispatcher.step(world.now + 30, world.now + 30);

    assert!(wait_ms <= 50, "the periodic checks go on");
    assert_eq!(soon, [], "a round of 8 ms is due every 40 ms");
    let later = world.advance(50);
    assert!(later.iter().any(|start| *start.job == *"second"));
}

/// Guards against a round that is put off without end because a single one took long.
#[test]
fn a_long_round_delays_the_next_by_a_tenth_of_a_second_at_most() {
    let mut world = World::new(4);
    world.submit("first", "batch", vec![step(1, 1, 1_000)]);
    world.round();
    world.dispatcher.record_step_time(Duration::from_secs(5), world.now);

    world.submit("second", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(100);

    assert!(starts.iter().any(|start| *start.job == *"second"));
}
