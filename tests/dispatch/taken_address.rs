//! Endpoints whose address another incarnation has: their processes, and so their runs, are gone.

use std::sync::Arc;

use yuccaridge::graph::{JobRecord, Phase, Place, UnitRecord};
use yuccaridge::port::{EndpointEntry, OrderError, Outcome, Refusal};

use crate::world::{BORN, World, entry, name, step, submission};

/// Address of `e0`.
const ADDRESS: &str = "10.0.0.0:1";

/// Record of a job whose only task was started on the incarnation `born` of `e0`.
fn started_on(born: u64) -> JobRecord {
    let place = Place {
        endpoint: "e0".to_owned(),
        born,
    };
    let unit = UnitRecord {
        position: 0,
        run: 1,
        places: [(0, place)].into(),
        ..UnitRecord::default()
    };
    JobRecord { units: vec![unit] }
}

/// A leader that takes over while a task runs on the incarnation `born` of `e0`, which has not reported, and `e1` is idle.
fn take_over(born: u64) -> World {
    let mut world = World::empty();
    for endpoint in ["e0", "e1"] {
        let address = if endpoint == "e0" { ADDRESS } else { "10.0.0.1:1" };
        world
            .dispatcher
            .update_endpoint(&name(endpoint), Some(entry(address, "r0")), world.now);
    }
    world.report("e1", &[], &[]);
    world.dispatcher.submit(
        &name("job"),
        submission("batch", vec![step(1, 1, 60_000)]),
        Some(&started_on(born)),
        Phase::Running,
        0,
        world.now,
    );
    world
}

/// Sends a hold to `e0` and answers that another incarnation has its address.
fn refuse_hold(world: &mut World) {
    let hold = world.dispatcher.hold(&name("e0"), world.now).expect("a hold");
    let refused = OrderError::Refused {
        refusal: Refusal::Reborn,
        clock_ms: None,
    };
    world.dispatcher.hold_failed(&name("e0"), &refused, world.now);
    world.dispatcher.address_taken(&name("e0"), &hold.address, world.now);
}

/// Endpoints on which the task was started again.
fn endpoints_of(starts: &[yuccaridge::dispatch::Start]) -> Vec<&str> {
    starts.iter().map(|start| &*start.endpoint).collect()
}

/// Guards against work that waits for the longest lease that a former leader may have granted, although the endpoint is
/// known to be gone.
#[test]
fn a_run_is_started_again_as_soon_as_the_address_of_its_endpoint_is_taken() {
    let mut world = take_over(BORN);

    let before = world.advance(100);
    refuse_hold(&mut world);
    let after = world.advance(100);

    assert_eq!(before, []);
    assert_eq!(endpoints_of(&after), ["e1"]);
    assert_eq!(after[0].run, 2);
}

/// Guards against a second run of a task whose end as done was read from an endpoint just before its address was taken.
#[test]
fn an_end_that_was_read_is_stored_although_the_address_is_taken() {
    let mut world = take_over(BORN);
    world.report("e0", &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    // The consequences of that end have not been stored, so the endpoint is held until they are.
    world.dispatcher.address_taken(&name("e0"), ADDRESS, world.now);

    let starts = world.advance(500);

    assert_eq!(starts, []);
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against an answer from an address that the endpoint does not have any more.
#[test]
fn an_answer_from_a_former_address_ends_no_lease() {
    let mut world = take_over(BORN);
    let moved = entry("10.0.0.9:1", "r0");
    let hold = world.dispatcher.hold(&name("e0"), world.now).expect("a hold");
    world.dispatcher.update_endpoint(&name("e0"), Some(moved), world.now);

    world.dispatcher.address_taken(&name("e0"), &hold.address, world.now);
    let starts = world.advance(1_000);

    assert_eq!(starts, []);
}

/// Guards against an entry of an earlier incarnation: its address says nothing about the one on which the former leader
/// started the run.
#[test]
fn the_address_of_an_earlier_incarnation_ends_no_lease() {
    let mut world = take_over(BORN + 1);

    refuse_hold(&mut world);
    let before = world.advance(1_000);
    let listed = EndpointEntry {
        born: BORN + 1,
        ..entry(ADDRESS, "r0")
    };
    world.dispatcher.update_endpoint(&name("e0"), Some(listed), world.now);
    refuse_hold(&mut world);
    let after = world.advance(100);

    assert_eq!(before, []);
    assert_eq!(endpoints_of(&after), ["e1"]);
}

/// Guards against new work on an endpoint whose address is taken while its entry is still listed.
#[test]
fn an_endpoint_whose_address_is_taken_gets_no_work() {
    let mut world = take_over(BORN);
    world.report("e0", &[("job.0.0.0", 1, 50.0)], &[]);
    refuse_hold(&mut world);
    world.advance(100);

    world.submit("other", "batch", vec![step(2, 8, 1_000)]);
    let starts = world.advance(1_000);

    assert!(!endpoints_of(&starts).contains(&"e0"), "{starts:?}");
}

/// Guards against a run that is taken over as if it was expected, should the endpoint answer after all.
#[test]
fn an_endpoint_that_answers_after_all_has_its_run_stopped() {
    let mut world = take_over(BORN);
    refuse_hold(&mut world);
    world.advance(100);

    world.report("e0", &[("job.0.0.0", 1, 50.0)], &[]);
    world.advance(100);

    let stops: Vec<(Arc<str>, u32)> = world
        .stops
        .iter()
        .map(|stop| (Arc::clone(&stop.endpoint), stop.run))
        .collect();
    assert_eq!(stops, [(name("e0"), 1)]);
}
