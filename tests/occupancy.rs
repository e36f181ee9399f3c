//! Which connection has to go when a server reaches a limit: a crowd holds most of what it sends, beside ordinary clients.

use std::time::Duration;

use yuccaridge::net::occupancy::{Occupancy, SMALL_BODY_BYTES, heaviest, limit_for, oldest};

fn held(connection: u64, bytes: usize, age_ms: u64) -> Occupancy {
    Occupancy {
        connection,
        bytes,
        age: Duration::from_millis(age_ms),
    }
}

/// Guards against refusing an ordinary request while a crowd holds large bodies.
#[test]
fn a_small_body_takes_the_place_of_one_that_is_held() {
    let crowd = [held(1, 200_000, 900), held(2, 262_143, 900), held(3, 200, 4_000)];

    let refused = heaviest(crowd.into_iter(), held(4, 0, 0), 300);

    assert_eq!(refused, Some(2));
}

/// Guards against large bodies that drive each other out, so that none is ever complete.
#[test]
fn a_large_body_is_refused_if_it_outweighs_all_others() {
    let others = [held(1, 100_000, 90), held(2, 50_000, 100)];

    let older = heaviest(others.into_iter(), held(3, 100_000, 60), 200_000);
    let younger = heaviest(others.into_iter(), held(3, 0, 1), 40_000);

    assert_eq!(older, Some(3));
    assert_eq!(younger, Some(1));
}

/// Guards against refusing connections that hold nothing.
#[test]
fn nothing_is_refused_if_no_other_body_is_held() {
    let others = [held(1, 0, 10_000), held(2, 500, 10)];

    assert_eq!(heaviest(others[..1].iter().copied(), held(2, 500, 10), 1_000), None);
    assert_eq!(heaviest(others.into_iter(), held(2, 500, 10), 1_000), None);
}

/// Guards against large bodies that leave no memory for small ones.
#[test]
fn some_memory_is_left_for_small_bodies() {
    assert_eq!(limit_for(SMALL_BODY_BYTES, 1_000_000), 1_000_000);
    assert_eq!(limit_for(SMALL_BODY_BYTES + 1, 1_000_000), 750_000);
}

/// Guards against closing the connection of a client that has just arrived.
#[test]
fn the_connection_that_has_waited_longest_is_closed() {
    let crowd = [held(1, 0, 10), held(2, 0, 3_000), held(3, 9_000, 700)];

    assert_eq!(oldest(crowd.into_iter()), Some(2));
    assert_eq!(oldest(std::iter::empty()), None);
}
