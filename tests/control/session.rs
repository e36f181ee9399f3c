//! The session's lease, and the use of the configuration under it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use standin::fake::{Fault, Side};
use yuccaridge::platform::{Step, Table};
use yuccaridge::session::SessionError;
use yuccaridge::time::Millis;

use crate::world::{World, bytes, first_ticket};

/// Guards against a lease that lasts longer than 3 s without a renewal.
#[test]
fn lease_ends_three_seconds_after_the_last_renewal_was_sent() {
    let world = World::new();
    let node = world.node("a", "1");
    node.step();
    assert!(node.is_live());

    node.cut();
    world.run(&[&node], 2900);
    assert!(node.is_live());
    world.run(&[&node], 100);

    assert!(!node.is_live());
    assert!(node.session.catalog(node.now()).is_none());
}

/// Guards against counting the lease from the answer: with a slow table, observers count from an earlier time.
#[test]
fn lease_counts_from_before_a_slow_renewal() {
    let world = World::new();
    let node = world.node("a", "1");
    let platform = Arc::clone(&world.platform);
    node.run_during(Step::Renew, Side::After, move || platform.clock.advance(Millis(2500)));

    node.step();

    assert!(node.is_live());
    world.platform.clock.advance(Millis(500));
    assert!(!node.is_live());
}

/// Guards against a session that never recovers from a renewal whose request or answer was lost.
#[test]
fn lost_answers_of_renewals_are_read_back() {
    for side in [Side::Before, Side::After] {
        let world = World::new();
        let node = world.node("a", "1");
        node.cut_at(Step::Renew, side, 1);
        let _ = node.session.step(world.now());
        let read_back = node.is_live();

        world.run(&[&node], 500);

        assert_eq!(read_back, side == Side::After);
        assert!(node.is_live());
        let version = world.row("session/a").unwrap().version;
        assert_eq!(node.session.version(), version);
    }
}

/// Guards against assuming a lease when neither the answer nor the read-back arrived.
#[test]
fn a_renewal_that_cannot_be_read_back_gives_no_lease() {
    let world = World::new();
    let node = world.node("a", "1");
    node.cut_from(Step::Renew, Side::After, u64::MAX);

    assert!(node.session.step(world.now()).is_err());

    assert!(world.row("session/a").is_some());
    assert!(!node.is_live());
    node.clear_faults();
    world.run(&[&node], 500);
    assert!(node.is_live());
}

/// Guards against two processes of the same name that both hold the session.
#[test]
fn a_second_process_of_the_same_name_waits_until_the_first_lapsed() {
    let world = World::new();
    let first = world.node("a", "1");
    let second = world.node("a", "2");
    world.run(&[&first, &second], 10_000);
    assert!(first.is_live());
    assert!(!second.is_live());

    let mut waited = 0;
    while !second.is_live() {
        world.run(&[&second], 100);
        waited += 100;
    }

    assert!(waited >= 3000, "taken over after {waited} ms");
    assert!(!first.is_live());
    assert!(matches!(
        first.session.refresh(world.now()),
        Err(SessionError::Taken(_))
    ));
}

/// Guards against a slow read that makes a row count as old, so that the live first process loses its session.
#[test]
fn a_row_read_slowly_does_not_count_as_old() {
    let world = World::new();
    let first = Arc::new(world.node("a", "1"));
    let second = world.node("a", "2");
    first.step();
    let (platform, other) = (Arc::clone(&world.platform), Arc::clone(&first));
    second.run_during(Step::Read, Side::Before, move || {
        platform.clock.advance(Millis(4000));
        other.step();
    });

    second.step();
    second.step();

    assert!(first.is_live());
    assert!(!second.is_live());
}

/// Guards against a renewal with an old configuration, after which a ticket would count as in force too early.
#[test]
fn a_renewal_loads_the_configuration_that_a_ticket_changed() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), world.node("b", "1"));
    world.run(&[&a, &b], 1000);
    a.tickets.put(world.now(), 7, &bytes(&first_ticket())).unwrap();

    world.run(&[&b], 1000);

    assert_eq!(b.session.catalog(world.now()).unwrap().number, 7);
    assert_eq!(world.row("session/b").unwrap().value["ticket"], 7);
}

/// Guards against an instance that uses the old configuration after its row announced the new one.
#[test]
fn the_new_configuration_is_used_before_the_renewal_that_announces_it() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), Arc::new(world.node("b", "1")));
    world.run(&[&a, &b], 1000);
    a.tickets.put(world.now(), 7, &bytes(&first_ticket())).unwrap();
    let node = Arc::clone(&b);
    let seen = Arc::new(AtomicBool::new(false));
    let (platform, found) = (Arc::clone(&world.platform), Arc::clone(&seen));
    b.link.set_hook(move |_| {
        let row = platform
            .table
            .read(&["session/b".to_owned()])
            .unwrap()
            .remove(0)
            .unwrap();
        if row.value["ticket"] == 7 {
            assert_eq!(node.session.cached_catalog().number, 7);
            found.store(true, Ordering::Relaxed);
        }
        Fault::None
    });

    world.run(&[&b], 2000);

    assert!(seen.load(Ordering::Relaxed));
}

/// Guards against a session row that stays after a leave, so that others wait for its lease, and against its return.
#[test]
fn leaving_removes_the_row_even_if_the_answer_is_lost() {
    for side in [Side::Before, Side::After] {
        let world = World::new();
        let node = world.node("a", "1");
        node.step();
        node.cut_at(Step::Leave, side, 1);

        node.session.leave(world.now()).unwrap();
        world.run(&[&node], 2000);

        assert!(world.row("session/a").is_none());
        assert!(!node.is_live());
    }
}
