//! Bounds of leases on endpoints that are about to leave.

use std::sync::Arc;

use yuccaridge::dispatch::{Dispatcher, Hold, LeaseBound, Tuning};
use yuccaridge::graph::{JobRecord, Phase};
use yuccaridge::port::EndpointEntry;

use crate::world::{BORN, T0, World, config, entry, name, step, submission};

/// Longest time for which work may wait for the leases on an endpoint that has left, in milliseconds.
const WAIT_MAX_MS: u64 = 8_000;

const TASK: &str = "job.0.0.0";

/// A leader of two endpoints with a run on `e0`.
fn leader_with_run() -> World {
    let mut world = World::empty();
    world.enter("e0", BORN);
    world.report("e0", &[], &[]);
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.enter("e1", BORN);
    world.report("e1", &[], &[]);
    world
}

/// Lets the leader read that `e0` drains and will not leave before the run has ended.
fn drain(world: &mut World) {
    let entry = EndpointEntry {
        draining: true,
        remaining_ms: Some(600_000),
        ..entry("10.0.0.1:1", "r0")
    };
    world.dispatcher.update_endpoint(&name("e0"), Some(entry), world.now);
}

/// Holds `e0` for `span_ms`, once a second, with stored changes; returns the bounds as last stored, and whether each hold
/// renewed the leases.
fn hold_for(world: &mut World, span_ms: u64, bounds: &mut Vec<LeaseBound>) -> Vec<bool> {
    let mut renewals = Vec::new();
    for _ in 0..span_ms / 1_000 {
        for _ in 0..20 {
            world.now += 50;
            world.dispatcher.step(world.now, world.now);
            while let Some(snapshot) = world.dispatcher.snapshot() {
                if let Some(stored) = &snapshot.lease_bounds {
                    bounds.clone_from(stored);
                }
                world.dispatcher.stored(snapshot, world.now);
            }
        }
        renewals.push(hold(world).lease_end.is_some());
        world.report("e0", &[(TASK, 1, 10.0)], &[]);
    }
    renewals
}

fn hold(world: &mut World) -> Hold {
    world.dispatcher.hold(&name("e0"), world.now).expect("a hold")
}

/// A leader that takes over when `e0` is no longer listed, with the bounds of the former one.
fn successor(record: &JobRecord, bounds: Vec<LeaseBound>, now: u64) -> World {
    let mut world = World::empty();
    world.now = now;
    world.dispatcher = Dispatcher::new(Tuning::default(), now);
    world.dispatcher.configure(Arc::new(config()));
    world.dispatcher.restore_lease_bounds(bounds);
    world.enter("e1", BORN);
    let job = submission("batch", vec![step(1, 1, 60_000)]);
    world
        .dispatcher
        .submit(&name("job"), job, Some(record), Phase::Running, 0, now);
    world.report("e1", &[], &[]);
    world
}

/// Guards against work that waits for the longest lease of a former leader after a takeover, although its endpoint was known
/// to be about to leave: it left in order while nobody led.
#[test]
fn work_of_an_endpoint_that_left_while_nobody_led_starts_again_soon() {
    let mut first = leader_with_run();
    drain(&mut first);
    let mut bounds = Vec::new();
    let renewals = hold_for(&mut first, 12_000, &mut bounds);
    let record = first.job("job").record.clone();
    let last_hold_at = first.now;

    let mut second = successor(&record, bounds, last_hold_at + 1_500);
    let early = second.advance(500);
    let later = second.advance(WAIT_MAX_MS - 2_000);

    assert_eq!(renewals, [true; 12]);
    assert_eq!(early, []);
    assert!(
        !later.is_empty(),
        "not started again within {WAIT_MAX_MS} ms of the last hold"
    );
}

/// Guards against a second run beside one whose lease lasts longer than the stored bound says.
#[test]
fn no_lease_on_a_draining_endpoint_outlasts_the_stored_bound() {
    let mut world = leader_with_run();
    let renewed = hold(&mut world);
    drain(&mut world);
    world.dispatcher.step(world.now + 50, world.now + 50);
    let mut bounds = Vec::new();
    hold_for(&mut world, 1_000, &mut bounds);
    let first_bound = bounds[0].ends_at;

    // No further bound is stored from here on, as if the store was away.
    let mut lease_ends = vec![renewed.lease_end.expect("a lease")];
    for _ in 0..20 {
        world.now += 1_000;
        lease_ends.extend(hold(&mut world).lease_end);
        world.report("e0", &[(TASK, 1, 10.0)], &[]);
    }

    // The clock of the endpoint is that of the leader here, and may be slow by a fiftieth.
    let latest = lease_ends.into_iter().max().expect("leases");
    assert!(latest > T0 + 5_000, "{latest}");
    assert!(
        latest + latest.saturating_sub(T0) / 50 <= first_bound,
        "{latest} {first_bound}"
    );
}

/// Guards against the same while it is not known which of two bounds is stored.
#[test]
fn the_earlier_bound_counts_until_the_later_one_is_stored() {
    let mut world = leader_with_run();
    drain(&mut world);
    let mut bounds = Vec::new();
    hold_for(&mut world, 6_000, &mut bounds);
    let known = bounds[0].ends_at;

    for _ in 0..80 {
        world.now += 50;
        world.dispatcher.step(world.now, world.now);
        if let Some(snapshot) = world.dispatcher.snapshot() {
            world.dispatcher.store_failed(snapshot);
        }
        let lease_end = hold(&mut world).lease_end;
        assert!(lease_end.is_none_or(|end| end < known), "{lease_end:?} {known}");
        world.report("e0", &[(TASK, 1, 10.0)], &[]);
    }
    let mut later = Vec::new();
    let renewals = hold_for(&mut world, 1_000, &mut later);

    assert!(later[0].ends_at > known);
    assert_eq!(renewals, [true]);
}

/// Guards against a bound that is left behind and hinders leases on an endpoint that stays after all.
#[test]
fn an_endpoint_that_stays_after_all_has_no_bound() {
    let mut world = leader_with_run();
    drain(&mut world);
    let mut bounds = Vec::new();
    hold_for(&mut world, 2_000, &mut bounds);
    let drained = Arc::clone(&bounds[0].endpoint);

    world.enter("e0", BORN);
    let renewals = hold_for(&mut world, 12_000, &mut bounds);

    assert_eq!(&*drained, "e0");
    assert_eq!(bounds, []);
    assert_eq!(renewals, [true; 12]);
}
