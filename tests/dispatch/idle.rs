//! Units that wait although much of the pool is idle.
//!
//! The pattern is the end of a busy day: the last tasks of other jobs leave some resources free in every rack, no rack
//! has enough for a gang, and the gangs that were preempted during the day still wait.

use yuccaridge::graph::Step;

use crate::world::{World, gang, step};

/// Four racks of four endpoints; in each rack, two endpoints run one small task.
fn fragmented_pool() -> World {
    let mut world = World::new(16);
    for rack in 0..4 {
        let small = Step {
            label: format!("r{rack}"),
            per_endpoint_max: 1,
            ..step(2, 1, 600_000)
        };
        world.submit(&format!("small{rack}"), "batch", vec![small]);
    }
    let starts = world.advance(100);
    assert_eq!(starts.len(), 8);
    world.confirm(&starts);
    for start in &starts {
        let runs = [(&*start.task, start.run, 20.0)];
        world.report(&start.endpoint, &runs, &[]);
    }
    world
}

/// Guards against a gang that waits for a free rack while every rack runs long tasks.
#[test]
fn a_gang_spans_racks_rather_than_wait_in_an_idle_pool() {
    let mut world = fragmented_pool();
    world.submit("gang", "normal", vec![gang(3, 8, 10_000)]);

    let soon = world.advance(1_000);
    let later = world.advance(1_000);

    assert_eq!(soon, []);
    assert_eq!(later.len(), 3);
}

/// Guards against gangs that span racks although one rack can hold them.
#[test]
fn a_gang_that_fits_a_rack_stays_in_it() {
    let mut world = fragmented_pool();
    world.submit("gang", "normal", vec![gang(2, 8, 10_000)]);

    let starts = world.advance(100);

    let racks: Vec<u32> = starts
        .iter()
        .map(|start| start.endpoint[1..].parse::<u32>().expect("a number") / 4)
        .collect();
    assert_eq!(starts.len(), 2);
    assert_eq!(racks[0], racks[1]);
}

/// Guards against a gang that spans racks in a pool with few free resources, where a whole rack may soon be free.
#[test]
fn a_gang_waits_for_a_rack_while_resources_are_scarce() {
    let mut world = fragmented_pool();
    world.submit("gang", "normal", vec![gang(4, 8, 10_000)]);
    world.submit("other", "urgent", vec![gang(2, 8, 600_000)]);

    let starts = world.advance(3_000);

    assert!(starts.iter().all(|start| *start.job == *"other"), "{starts:?}");
}
