//! Work does not wait beside idle endpoints.
//!
//! The pattern is the end of a busy day: what is left of other jobs leaves some room on every rack, no rack has enough for a
//! gang, and the gangs that were preempted during the day wait.

use yuccaridge::graph::Step;

use crate::world::{World, gang, step};

/// Four racks of four endpoints, two of them in each rack with one small task.
fn scattered() -> World {
    let mut world = World::new(16);
    for rack in 0..4 {
        let small = Step {
            label: format!("r{rack}"),
            spread: 1,
            ..step(2, 1, 600_000)
        };
        world.submit(&format!("small{rack}"), "batch", vec![small]);
    }
    let starts = world.pass(100);
    assert_eq!(starts.len(), 8);
    world.confirm(&starts);
    for start in &starts {
        let runs = [(&*start.task, start.run, 20.0)];
        world.report(&start.endpoint, &runs, &[]);
    }
    world
}

/// Guards against a gang that waits for one rack for as long as long tasks run on each of them.
#[test]
fn a_gang_takes_several_racks_rather_than_wait_beside_idle_endpoints() {
    let mut world = scattered();
    world.submit("gang", "normal", vec![gang(3, 8, 10_000)]);

    let soon = world.pass(1_000);
    let later = world.pass(1_000);

    assert_eq!(soon, []);
    assert_eq!(later.len(), 3);
}

/// Guards against gangs that are spread over racks although one has room.
#[test]
fn a_gang_that_fits_a_rack_stays_in_it() {
    let mut world = scattered();
    world.submit("gang", "normal", vec![gang(2, 8, 10_000)]);

    let starts = world.pass(100);

    let racks: Vec<u32> = starts
        .iter()
        .map(|start| start.endpoint[1..].parse::<u32>().expect("a number") / 4)
        .collect();
    assert_eq!(starts.len(), 2);
    assert_eq!(racks[0], racks[1]);
}

/// Guards against a gang that takes the last room that would do for it, where the next rack may soon be free.
#[test]
fn a_gang_waits_for_a_rack_while_room_is_short() {
    let mut world = scattered();
    world.submit("gang", "normal", vec![gang(4, 8, 10_000)]);
    world.submit("other", "urgent", vec![gang(2, 8, 600_000)]);

    let starts = world.pass(3_000);

    assert!(starts.iter().all(|start| *start.job == *"other"), "{starts:?}");
}
