//! Bounds of leases on silent endpoints, over several changes of leader.

use std::sync::Arc;

use yuccaridge::dispatch::{LeaseBound, Tuning};
use yuccaridge::graph::{JobRecord, Phase, Place, UnitRecord};
use yuccaridge::port::{EndpointEntry, OrderError, Outcome};

use crate::world::{BORN, T0, World, entry, name, step, submission};

/// Longest time for which a new leader has to wait for leases that its predecessor may have granted.
const LONGEST_WAIT_MS: u64 = 8_000 + 11_200;

/// Record of a job whose only task was started on `endpoint`.
fn started_on(endpoint: &str) -> JobRecord {
    let place = Place {
        endpoint: endpoint.to_owned(),
        born: BORN,
    };
    let unit = UnitRecord {
        position: 0,
        run: 1,
        places: [(0, place)].into(),
        ..UnitRecord::default()
    };
    JobRecord { units: vec![unit] }
}

/// A leader that takes over while the endpoint of a started job is not listed, and another one is idle.
fn leader_after(bounds: Vec<LeaseBound>) -> World {
    let mut world = World::new(1);
    world.dispatcher.restore_lease_bounds(bounds);
    let steps = vec![step(1, 1, 5_000)];
    let record = started_on("gone");
    world.dispatcher.submit(
        &name("job"),
        submission("batch", steps),
        Some(&record),
        Phase::Running,
        0,
        world.now,
    );
    world
}

/// Bounds that the leader stores next.
fn stored_by(world: &mut World) -> Vec<LeaseBound> {
    let snapshot = world.dispatcher.snapshot().expect("changes to store");
    let bounds = snapshot.lease_bounds.clone().expect("changed bounds");
    world.dispatcher.stored(snapshot, world.now);
    bounds
}

/// Guards against work that waits for as long as leaders change: each new leader waited for the longest lease that its
/// predecessor might have granted on an endpoint that none of them could reach.
#[test]
fn a_second_change_of_leader_does_not_start_the_wait_for_leases_anew() {
    let mut first = leader_after(Vec::new());
    let bounds = stored_by(&mut first);

    let mut second = leader_after(bounds.clone());
    second.now = T0 + 1_000;
    let copied = stored_by(&mut second);
    let mut third = leader_after(copied);
    let before = third.advance(bounds[0].ends_at - T0 - 100);
    let after = third.advance(300);

    assert!(bounds[0].ends_at <= T0 + LONGEST_WAIT_MS + 1_000, "{bounds:?}");
    assert_eq!(before, []);
    assert_eq!(after.len(), 1, "started again once the stored bound has passed");
}

/// A leader that has taken over an endpoint with a run, beside an idle one, and has asked it for no report yet.
fn leader_of_listed_endpoint() -> World {
    let mut world = leader_after(Vec::new());
    world
        .dispatcher
        .update_endpoint(&name("gone"), Some(entry("10.0.0.9:1", "r0")), world.now);
    world
}

/// Guards against work that waits for leases which a former leader might still grant, although its endpoint has seen the
/// token of the present one and refuses the former: it answered once and then vanished.
#[test]
fn leases_of_former_leaders_end_after_the_first_report() {
    let mut world = leader_of_listed_endpoint();
    world.now = T0 + 400;
    world.report("gone", &[("job.0.0.0", 1, 10.0)], &[]);

    let before = world.advance(11_100);
    let after = world.advance(200);

    assert_eq!(before, []);
    assert_eq!(after.len(), 1, "started again once the longest lease has passed");
}

/// Guards against a proof from a page of a report: a report counts once it is complete.
#[test]
fn leases_of_former_leaders_last_beyond_an_incomplete_report() {
    let mut world = leader_of_listed_endpoint();
    world.now = T0 + 400;
    world.report_page("gone", &[(1, "other.0.0.0", 1, Outcome::Done)]);

    let before = world.advance(LONGEST_WAIT_MS - 500);
    let after = world.advance(200);

    assert_eq!(before, []);
    assert_eq!(after.len(), 1);
}

/// Guards against a bound that forgets starts which are on their way to an endpoint that has restarted.
#[test]
fn leases_on_a_restarted_endpoint_keep_the_margin_for_late_orders() {
    let mut world = leader_of_listed_endpoint();
    let entry = EndpointEntry {
        born: BORN + 1,
        ..entry("10.0.0.9:1", "r0")
    };
    world.dispatcher.update_endpoint(&name("gone"), Some(entry), world.now);
    world.now = T0 + 400;
    world.report_as("gone", BORN + 1, 0, &[("job.0.0.0", 1, 10.0)], &[]);

    let before = world.advance(12_000 + 11_200 - 500);
    let after = world.advance(200);

    assert_eq!(before, []);
    assert_eq!(after.len(), 1);
}

/// Guards against a lease that is granted although the store says that there is none: the next leader would start the task
/// again while it runs.
#[test]
fn no_lease_is_granted_before_the_bound_is_out_of_the_store() {
    let mut world = leader_after(Vec::new());
    let bounds = stored_by(&mut world);
    let gone = name("gone");

    world
        .dispatcher
        .update_endpoint(&gone, Some(entry("10.0.0.9:1", "r0")), world.now);
    world.report("gone", &[("job.0.0.0", 1, 10.0)], &[]);
    let before = world.dispatcher.hold(&gone, world.now).expect("a hold");
    let snapshot = world.dispatcher.snapshot().expect("changes to store");
    let removed = snapshot.lease_bounds.clone();
    let under_way = world.dispatcher.hold(&gone, world.now).expect("a hold");
    world.dispatcher.stored(snapshot, world.now);
    let after = world.dispatcher.hold(&gone, world.now).expect("a hold");

    assert_eq!(bounds.len(), 1);
    assert_eq!(removed, Some(Vec::new()));
    assert_eq!((before.lease_end, under_way.lease_end), (None, None));
    assert!(after.lease_end.is_some());
}

/// Guards against the same if the transaction that removes the bound has no answer.
#[test]
fn no_lease_is_granted_while_it_is_not_known_whether_the_bound_is_stored() {
    let mut world = leader_after(Vec::new());
    stored_by(&mut world);
    let gone = name("gone");
    world
        .dispatcher
        .update_endpoint(&gone, Some(entry("10.0.0.9:1", "r0")), world.now);
    world.report("gone", &[("job.0.0.0", 1, 10.0)], &[]);

    let snapshot = world.dispatcher.snapshot().expect("changes to store");
    world.dispatcher.store_failed(snapshot);
    let unknown = world.dispatcher.hold(&gone, world.now).expect("a hold");
    let again = stored_by(&mut world);
    let known = world.dispatcher.hold(&gone, world.now).expect("a hold");

    assert_eq!(unknown.lease_end, None);
    assert_eq!(again, []);
    assert!(known.lease_end.is_some());
}

/// Guards against a leader that goes on renewing leases on an endpoint that has vanished, which puts off the time at which
/// its work may start elsewhere.
#[test]
fn leases_on_a_vanished_endpoint_are_not_renewed_after_two_silent_holds() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 1, 5_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let endpoint = Arc::clone(&starts[0].endpoint);
    world.dispatcher.update_endpoint(&endpoint, None, world.now);

    let mut renewals = Vec::new();
    for _ in 0..4 {
        world.now += 1_800;
        let hold = world.dispatcher.hold(&endpoint, world.now).expect("a hold");
        renewals.push(hold.lease_end.is_some());
        let error = OrderError::Unknown("no answer".to_owned());
        world.dispatcher.hold_failed(&endpoint, &error, world.now);
    }
    let bounds = stored_by(&mut world);

    assert_eq!(renewals, [true, true, false, false]);
    let last_lease_end = T0 + 50 + 2 * 1_800 + (Tuning::default().lease_ms as f64 * 1.02) as u64;
    assert!(bounds[0].ends_at <= last_lease_end + 1_000, "{bounds:?}");
}
