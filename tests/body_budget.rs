//! Decisions of the budget for request bodies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccaridge::api::{BodyBudget, BodyLease, Refusal};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
/// Longer than the time that every body has to arrive.
const LONG: Duration = Duration::from_secs(3);

fn budget() -> Arc<BodyBudget> {
    Arc::new(BodyBudget::new(MIB))
}

fn append(lease: &mut BodyLease, size: u64) -> Result<(), Refusal> {
    lease.append(&vec![b' '; usize::try_from(size).expect("a small size")])
}

/// Opens a body that holds `size` bytes.
fn hold(budget: &Arc<BodyBudget>, id: u64, size: u64, now: Instant) -> BodyLease {
    let mut lease = budget.open(id, now);
    append(&mut lease, size).expect("room");
    lease
}

/// Guards against bytes that stay reserved after their request was answered.
#[test]
fn bytes_are_held_until_the_body_is_dropped() {
    let (budget, now) = (budget(), Instant::now());
    let lease = hold(&budget, 1, 300 * KIB, now);
    assert_eq!(budget.held(), 300 * KIB);
    let body = lease.complete().expect("not evicted");
    assert_eq!(body.bytes().len() as u64, 300 * KIB);
    assert_eq!(budget.held(), 300 * KIB);
    drop(body);
    assert_eq!(budget.held(), 0);
}

/// Guards against large bodies that leave no room for small ones, and against any that exceed the budget.
#[test]
fn small_bodies_use_the_reserve() {
    let (budget, now) = (budget(), Instant::now());
    let _large = hold(&budget, 1, 7 * MIB / 8, now);
    let mut other = budget.open(2, now);
    assert_eq!(append(&mut other, 16 * KIB), Ok(()));
    assert_eq!(append(&mut other, 1), Err(Refusal::Full));
    let mut small = Vec::new();
    for id in 3..10 {
        small.push(hold(&budget, id, 16 * KIB, now));
    }
    assert_eq!(budget.held(), MIB);
    assert_eq!(append(&mut budget.open(10, now), 1), Err(Refusal::Full));
}

/// Guards against a refused piece that stays reserved.
#[test]
fn refused_pieces_are_not_reserved() {
    let (budget, now) = (budget(), Instant::now());
    let mut lease = hold(&budget, 1, 100 * KIB, now);
    assert_eq!(append(&mut lease, MIB), Err(Refusal::Full));
    assert_eq!(budget.held(), 100 * KIB);
    assert_eq!(lease.complete().expect("not evicted").bytes().len() as u64, 100 * KIB);
}

/// Guards against clients that hold the budget by not ending their bodies.
#[test]
fn evicted_bodies_free_their_bytes_at_once() {
    let (budget, now) = (budget(), Instant::now());
    let mut slow = hold(&budget, 1, 500 * KIB, now);
    let later = now + LONG;
    let mut other = hold(&budget, 2, 300 * KIB, later);
    assert_eq!(budget.evict_largest(300 * KIB, later), Some(1));
    assert_eq!(budget.held(), 300 * KIB);
    assert_eq!(append(&mut slow, 1), Err(Refusal::Evicted));
    assert_eq!(slow.complete().err(), Some(Refusal::Evicted));
    assert_eq!(budget.held(), 300 * KIB);
    assert_eq!(append(&mut other, 500 * KIB), Ok(()));
}

/// Guards against the eviction of bodies that are recent, complete or no larger than the one that needs room.
#[test]
fn only_large_slow_bodies_give_way() {
    let (budget, now) = (budget(), Instant::now());
    let later = now + LONG;
    let _recent = hold(&budget, 1, 100 * KIB, later);
    let complete = hold(&budget, 2, 200 * KIB, now).complete();
    let _slow = hold(&budget, 3, 50 * KIB, now);
    let _slower = hold(&budget, 4, 40 * KIB, now);
    assert_eq!(budget.evict_largest(50 * KIB, later), None);
    assert_eq!(budget.evict_largest(0, now), None);
    assert_eq!(budget.evict_largest(45 * KIB, later), Some(3));
    assert_eq!(budget.evict_largest(0, later), Some(4));
    assert_eq!(budget.evict_largest(0, later), None);
    assert!(complete.is_ok());
    assert_eq!(budget.held(), 300 * KIB);
}

/// Guards against requests that keep their places by not ending small bodies.
#[test]
fn oldest_body_gives_way_first() {
    let (budget, now) = (budget(), Instant::now());
    let _newer = hold(&budget, 1, 9 * KIB, now + Duration::from_millis(1));
    let _oldest = budget.open(2, now);
    let later = now + LONG;
    assert_eq!(budget.evict_oldest(now), None);
    assert_eq!(budget.evict_oldest(later), Some(2));
    assert_eq!(budget.evict_oldest(later), Some(1));
    assert_eq!(budget.evict_oldest(later), None);
}
