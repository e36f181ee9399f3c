//! Membership: known instances, pool owners and endpoints.

use std::sync::Arc;

use standin::fake::Side;
use yuccaridge::membership::owner_of;
use yuccaridge::name::{EndpointName, PoolName};
use yuccaridge::platform::{Check, Presence, Step, Table, TableError, Txn};
use yuccaridge::row::{OpIds, PoolRow};
use yuccaridge::time::Millis;

use crate::world::{World, instance};

fn pool_row(holder: &str, boot: &str) -> PoolRow {
    PoolRow {
        holder: instance(holder),
        boot: boot.to_owned(),
        epoch: 1,
    }
}

/// Guards against a takeover before the lease and its margin have passed, and against one that comes too late.
#[test]
fn a_holder_lapses_within_lease_and_one_second() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), world.node("b", "1"));
    world.run(&[&a, &b], 2000);
    let end = a.session.lease_end().unwrap();

    while b.membership.takeover_check(world.now(), &pool_row("a", "1")).is_none() {
        world.run(&[&b], 100);
    }

    let late = world.now().since(end);
    assert!(world.now() > end && late <= Millis(1000), "{late} after the lease");
    assert_eq!(b.membership.live(world.now()), [instance("b")]);
}

/// Guards against a takeover from a holder that was frozen and has renewed its session since.
#[test]
fn the_check_of_a_takeover_fails_once_the_holder_renewed() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), world.node("b", "1"));
    world.run(&[&a, &b], 1000);
    world.run(&[&b], 5000);
    let check = b.membership.takeover_check(world.now(), &pool_row("a", "1")).unwrap();

    a.step();

    let txn = Txn {
        step: Step::Takeover,
        op: OpIds::new(&instance("b"), "t").next(),
        checks: vec![check],
        puts: Vec::new(),
    };
    assert!(matches!(b.link.commit(&txn), Err(TableError::Conflict { .. })));
}

/// Guards against waiting for a holder that left or restarted: its earlier boot cannot renew again.
#[test]
fn a_holder_that_left_or_restarted_has_lost_its_pools() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), world.node("b", "1"));
    world.run(&[&a, &b], 1000);
    let version = world.row("session/a").unwrap().version;
    let key = "session/a".to_owned();

    let restarted = b.membership.takeover_check(world.now(), &pool_row("a", "0"));
    a.session.leave(world.now()).unwrap();
    world.run(&[&b], 300);
    let left = b.membership.takeover_check(world.now(), &pool_row("a", "1"));

    assert_eq!(
        restarted,
        Some(Check {
            key: key.clone(),
            version
        })
    );
    assert_eq!(left, Some(Check { key, version: 0 }));
}

/// Guards against treating an absent row as lapsed before the rows were first read.
#[test]
fn nothing_has_lapsed_before_the_first_read() {
    let world = World::new();
    let node = world.node("a", "1");

    assert_eq!(node.membership.lapse_check(world.now(), &instance("b")), None);
}

/// Guards against a slow read that makes a fresh row count as old.
#[test]
fn a_row_read_slowly_has_not_lapsed() {
    let world = World::new();
    let (a, b) = (Arc::new(world.node("a", "1")), world.node("b", "1"));
    let (platform, other) = (Arc::clone(&world.platform), Arc::clone(&a));
    b.run_during(Step::Read, Side::Before, move || {
        platform.clock.advance(Millis(5000));
        other.step();
    });

    let _ = b.membership.step(world.now());
    b.cut();
    let _ = b.membership.step(world.now());

    assert_eq!(b.membership.lapse_check(world.now(), &instance("a")), None);
}

/// Guards against observers that disagree on owners, and against a lost instance that moves the pools of others.
#[test]
fn pools_are_spread_and_move_only_with_their_owner() {
    let all: Vec<_> = (0..8).map(|n| instance(&format!("i{n}"))).collect();
    let fewer = &all[1..];
    let mut counts = std::collections::BTreeMap::new();
    for n in 0..400 {
        let pool = PoolName::new(format!("p{n}")).unwrap();
        let owner = owner_of(pool.as_str(), &all).unwrap();
        if owner != all[0] {
            assert_eq!(owner_of(pool.as_str(), fewer), Some(owner.clone()));
        }
        *counts.entry(owner).or_insert(0) += 1;
    }

    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| (20..=90).contains(count)), "{counts:?}");
    assert_eq!(owner_of("p1", &[]), None);
}

/// Guards against pools that are assigned to an instance that shuts down.
#[test]
fn a_draining_instance_is_given_no_pools() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), world.node("b", "1"));
    world.run(&[&a, &b], 1000);
    a.session.set_draining();
    world.run(&[&a, &b], 500);

    assert_eq!(b.membership.live(world.now()).len(), 2);
    for n in 0..20 {
        let pool = PoolName::new(format!("p{n}")).unwrap();
        assert_eq!(b.membership.owner(world.now(), &pool), Some(instance("b")));
    }
}

/// Guards against new work for an endpoint that is leaving (limit 2 s) or missing from the list, and against dropping
/// an endpoint at once when a faulty list omits it.
#[test]
fn leaving_and_missing_endpoints_are_not_open() {
    let world = World::new();
    let node = world.node("a", "1");
    world.add_endpoint("w1", 1);
    world.add_endpoint("w2", 2);
    world.run(&[&node], 1000);
    let (w1, w2) = (EndpointName::new("w1").unwrap(), EndpointName::new("w2").unwrap());
    let set = |presence| {
        world
            .platform
            .with_endpoint(&w1, |endpoint, _| endpoint.listed_mut().presence = presence)
    };
    set(Presence::Leaving);
    // Renaming the endpoint in the list stands for a list that omits it.
    let other = EndpointName::new("w3").unwrap();
    world
        .platform
        .with_endpoint(&w2, |endpoint, _| endpoint.listed_mut().name = other);

    world.run(&[&node], 1900);
    let soon = node.membership.endpoints();
    world.run(&[&node], 60_000);
    let late = node.membership.endpoints();

    assert!(!soon[&w1].is_open());
    assert!(!soon[&w2].is_open());
    assert!(!late.contains_key(&w2));
    assert!(late.contains_key(&w1));
}
