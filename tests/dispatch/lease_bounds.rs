//! Bounds of leases on silent endpoints, over several changes of leader.

use std::sync::Arc;

use yuccaridge::dispatch::{Dispatcher, LeaseBound, Snapshot, Tuning};
use yuccaridge::graph::{JobRecord, Phase, Place, UnitRecord};
use yuccaridge::port::{EndpointEntry, OrderError, Outcome};

use crate::world::{BORN, T0, World, config, entry, name, step, submission};

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

/// A leader with a run on `e0`, which the endpoint has confirmed and reported.
fn leader_with_run() -> World {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 1, 5_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.report("e0", &[("job.0.0.0", 1, 1.0)], &[]);
    world
}

/// A leader that takes over `after_ms` later, with what the store says of a run on `e0`, which it never reaches.
fn successor(former: &World, release: &Snapshot, after_ms: u64) -> World {
    let mut world = World::empty();
    world.now = former.now + after_ms;
    world.dispatcher = Dispatcher::new(Tuning::default(), world.now);
    world.dispatcher.configure(Arc::new(config()));
    let bounds = release.lease_bounds.clone().expect("bounds of all leases");
    world.dispatcher.restore_lease_bounds(bounds);
    world
        .dispatcher
        .restore_common_bound(release.common_bound.expect("a common bound"));
    let record = started_on("e0");
    world.dispatcher.submit(
        &name("job"),
        submission("batch", vec![step(1, 1, 5_000)]),
        Some(&record),
        Phase::Running,
        0,
        world.now,
    );
    world
}

/// Guards against work that waits after a takeover for leases that a leader might have granted after the release of its
/// lead, which it can't.
#[test]
fn a_release_tells_when_the_last_lease_ends() {
    let mut former = leader_with_run();
    former.dispatcher.hold(&name("e0"), former.now).expect("a hold");
    let granted_at = former.now;
    former.now += 2_000;
    let release = former.dispatcher.release(former.now);

    let mut successor = successor(&former, &release, 300);
    successor.advance(granted_at + 11_300 - successor.now);

    let endpoint = successor.dispatcher.endpoints().get("e0");
    assert_eq!(
        endpoint.map(|endpoint| endpoint.runs.len()),
        None,
        "its lease has passed"
    );
}

/// Guards against a bound that passes while a lease lasts that was granted before the release.
#[test]
fn a_release_covers_all_leases_that_were_granted_before() {
    let mut former = leader_with_run();
    former.dispatcher.hold(&name("e0"), former.now).expect("a hold");
    let granted_at = former.now;
    former.now += 2_000;
    let release = former.dispatcher.release(former.now);

    let mut successor = successor(&former, &release, 300);
    successor.advance(granted_at + 10_200 - successor.now);

    let endpoint = successor.dispatcher.endpoints().get("e0");
    assert_eq!(endpoint.map(|endpoint| endpoint.runs.len()), Some(1));
}

/// Guards against a lease that outlasts what a successor reads in the store, and against one that is never granted again
/// after the store has declined the release.
#[test]
fn a_release_that_was_declined_lets_leases_be_granted_again() {
    let mut world = leader_with_run();
    let hold = |world: &mut World| world.dispatcher.hold(&name("e0"), world.now).expect("a hold").lease_end;
    let before = hold(&mut world);
    let release = world.dispatcher.release(world.now);
    let under_way = hold(&mut world);

    world.dispatcher.store_declined(release);
    let declined = hold(&mut world);

    assert!(before.is_some());
    assert_eq!(under_way, None);
    assert!(declined.is_some());
}

/// Guards against a lease that outlasts the bounds of a release that the store applies late.
#[test]
fn a_release_without_an_answer_lets_no_lease_be_granted_until_it_is_replaced() {
    let mut world = leader_with_run();
    let hold = |world: &mut World| world.dispatcher.hold(&name("e0"), world.now).expect("a hold").lease_end;
    let release = world.dispatcher.release(world.now);
    world.dispatcher.store_failed(release);
    let unknown = hold(&mut world);
    let again = world.dispatcher.release(world.now);
    world.dispatcher.store_declined(again);
    let declined = hold(&mut world);

    let bounds = stored_by(&mut world);
    let replaced = hold(&mut world);

    assert_eq!((unknown, declined), (None, None));
    assert_eq!(bounds, []);
    assert!(replaced.is_some());
}

/// Guards against a start that is refused, which costs its unit a run, because the lead is released right after the start
/// was stored.
#[test]
fn a_start_that_was_stored_before_the_release_is_sent() {
    let mut world = World::new(1);
    world.advance(LONGEST_WAIT_MS);
    world.submit("job", "batch", vec![step(1, 1, 5_000)]);
    let starts = world.advance(50);
    let release = world.dispatcher.release(world.now);
    let bounds = release.lease_bounds.expect("bounds of all leases");
    world.now += 100;

    let soon = world.dispatcher.lease_start(&starts[0], world.now);
    world.now += 1_000;
    let late = world.dispatcher.lease_start(&starts[0], world.now);

    let lease_ms = Tuning::default().start_lease_ms;
    assert_eq!(soon.map(|end| end <= bounds[0].ends_at), Some(true));
    assert!(bounds[0].ends_at <= world.now + 2 * lease_ms, "{bounds:?}");
    assert_eq!(late, None);
}

/// Guards against a row that the store refuses for its size.
#[test]
fn a_release_of_many_endpoints_has_a_common_bound() {
    let mut world = World::new(0);
    let bounds: Vec<LeaseBound> = (0..2_000)
        .map(|at| LeaseBound {
            endpoint: name(&format!("endpoint-{at:010}")),
            born: BORN,
            ends_at: T0 + at,
        })
        .collect();
    world.dispatcher.restore_lease_bounds(bounds);
    for at in 0..2_000 {
        let record = started_on(&format!("endpoint-{at:010}"));
        let job = submission("batch", vec![step(1, 1, 5_000)]);
        let id = name(&format!("job{at}"));
        world
            .dispatcher
            .submit(&id, job, Some(&record), Phase::Running, 0, world.now);
    }

    let release = world.dispatcher.release(world.now);

    let listed = release.lease_bounds.expect("bounds").len();
    assert!((300..600).contains(&listed), "{listed} bounds");
    assert_eq!(release.common_bound, Some(T0 + 11_200));
}
