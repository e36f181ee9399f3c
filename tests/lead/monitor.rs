//! Decisions of [`LeaderMonitor`], mainly while the store or the leader is slow.

use std::sync::Arc;

use prost::Message;
use yuccaridge::lead::{FollowerAction, Heartbeat, LeaderMonitor, Observation, Offer, OverloadDetector, Timing};
use yuccaridge::port::Row;

use crate::world::heartbeat;

fn monitor(millicores: u32) -> LeaderMonitor {
    let timing = Timing {
        heartbeat_interval_ms: 500,
        heartbeat_timeout_ms: 1_500,
        takeover_delay_ms: 60,
        millicores,
        retention_ms: 60_000,
    };
    LeaderMonitor::new(Arc::from("me"), timing, 0)
}

fn row(key: &str, value: Vec<u8>, version: u64) -> Row {
    Row {
        key: Arc::from(key),
        value: Some(value),
        version,
    }
}

/// Passes an answer to the monitor, with the local clock and that of the store both at `now`; the answer took
/// `response_ms` beyond its wait.
fn observe(monitor: &mut LeaderMonitor, rows: &[Row], now: u64, response_ms: u64) -> FollowerAction {
    monitor.observe(&Observation {
        rows,
        complete: false,
        clock_ms: now,
        sent_at: now.saturating_sub(500 + response_ms),
        answered_at: now,
        wait_ms: 500,
    });
    monitor.next_action(now)
}

fn overloaded(fence: u64) -> Heartbeat {
    Heartbeat {
        overloaded: true,
        ..heartbeat("small", fence, 90)
    }
}

/// Guards against leadership that alternates between two instances while the store answers slowly.
#[test]
fn slow_answers_extend_the_heartbeat_timeout() {
    let heartbeat = row("1", heartbeat("small", 3, 90).encode_to_vec(), 5);
    let mut slow = monitor(500);
    let mut quick = monitor(500);

    observe(&mut slow, std::slice::from_ref(&heartbeat), 10_000, 0);
    observe(&mut quick, &[heartbeat], 10_000, 0);

    assert_eq!(observe(&mut quick, &[], 11_600, 5), FollowerAction::TakeOver(3));
    assert_eq!(observe(&mut slow, &[], 11_600, 300), FollowerAction::Follow);
    assert_eq!(observe(&mut slow, &[], 12_500, 300), FollowerAction::TakeOver(3));
}

/// Guards against a leader that keeps leadership although it is too small for the load.
#[test]
fn a_larger_instance_offers_to_replace_an_overloaded_leader() {
    let mut monitor = monitor(500);

    let first = observe(&mut monitor, &[row("1", overloaded(3).encode_to_vec(), 5)], 10_000, 0);
    let later = observe(&mut monitor, &[], 11_000, 0);
    let renewed = Heartbeat {
        count: 2,
        ..overloaded(3)
    };
    let settled = observe(&mut monitor, &[row("1", renewed.encode_to_vec(), 6)], 12_300, 0);

    assert_eq!(first, FollowerAction::Follow);
    assert_eq!(later, FollowerAction::Follow);
    assert_eq!(settled, FollowerAction::Offer { fence: 3, version: 0 });
}

/// Guards against an overloaded leader of 0.3 cores that keeps leadership although instances of 0.5 cores are there.
#[test]
fn an_instance_half_as_large_again_offers_to_replace_an_overloaded_leader() {
    let mut monitor = monitor(500);
    let leader = |count| Heartbeat {
        count,
        millicores: 300,
        ..overloaded(3)
    };

    observe(&mut monitor, &[row("1", leader(1).encode_to_vec(), 5)], 10_000, 0);
    let action = observe(&mut monitor, &[row("1", leader(2).encode_to_vec(), 6)], 13_000, 0);

    assert_eq!(action, FollowerAction::Offer { fence: 3, version: 0 });
}

/// Guards against a small instance that leads a new site because it has started a moment before the larger ones.
#[test]
fn larger_instances_that_start_later_become_the_first_leader() {
    let (mut small, mut large) = (monitor(300), monitor(500));
    let empty = |now: u64| Observation {
        rows: &[],
        complete: true,
        clock_ms: now,
        sent_at: now,
        answered_at: now,
        wait_ms: 0,
    };

    small.observe(&empty(10_000));
    let at_once = small.next_action(10_000);
    large.observe(&empty(10_250));
    let waiting = small.next_action(10_300);
    let first = large.next_action(10_250 + 8 * 60);

    assert!(matches!(at_once, FollowerAction::CheckAgain(_)), "{at_once:?}");
    assert!(matches!(waiting, FollowerAction::CheckAgain(_)), "{waiting:?}");
    assert_eq!(first, FollowerAction::TakeOver(0));
}

/// Guards against offers that change the leader without a gain.
#[test]
fn no_offer_goes_to_a_leader_that_keeps_up_or_is_as_large() {
    let mut larger = monitor(500);
    let mut equal = monitor(90);
    let mut hardly_larger = monitor(130);
    let idle_row = row("1", heartbeat("small", 3, 90).encode_to_vec(), 5);
    let overloaded_row = row("1", overloaded(3).encode_to_vec(), 5);

    observe(&mut larger, std::slice::from_ref(&idle_row), 10_000, 0);
    observe(&mut equal, std::slice::from_ref(&overloaded_row), 10_000, 0);
    observe(&mut hardly_larger, std::slice::from_ref(&overloaded_row), 10_000, 0);
    let again = |heartbeat: Heartbeat| row("1", Heartbeat { count: 9, ..heartbeat }.encode_to_vec(), 9);

    let to_idle = observe(&mut larger, &[again(heartbeat("small", 3, 90))], 13_000, 0);
    let to_equal = observe(&mut equal, &[again(overloaded(3))], 13_000, 0);
    assert_eq!(to_idle, FollowerAction::Follow);
    assert_eq!(to_equal, FollowerAction::Follow);
    let to_hardly_smaller = observe(&mut hardly_larger, &[again(overloaded(3))], 13_000, 0);
    assert_eq!(to_hardly_smaller, FollowerAction::Follow);
}

/// Guards against several instances that offer at the same time.
#[test]
fn no_offer_follows_a_recent_one_of_another_instance() {
    let mut monitor = monitor(500);
    observe(&mut monitor, &[row("1", overloaded(3).encode_to_vec(), 5)], 10_000, 0);
    let offer = Offer {
        name: "other".to_owned(),
        fence: 3,
        millicores: 500,
    };

    observe(&mut monitor, &[row("offer", offer.encode_to_vec(), 8)], 12_100, 0);
    let renewed = |count| row("1", Heartbeat { count, ..overloaded(3) }.encode_to_vec(), 8 + count);
    let soon = observe(&mut monitor, &[renewed(2)], 12_400, 0);
    for at in 0..7 {
        observe(&mut monitor, &[renewed(3 + at)], 12_900 + 500 * at, 0);
    }
    let late = observe(&mut monitor, &[renewed(20)], 16_200, 0);

    assert_eq!(soon, FollowerAction::Follow);
    assert_eq!(late, FollowerAction::Offer { fence: 3, version: 8 });
}

/// Guards against other instances that take over before the named successor.
#[test]
fn a_named_successor_takes_over_and_others_wait() {
    let released = |successor: &str| {
        let heartbeat = Heartbeat {
            released: true,
            successor: successor.to_owned(),
            ..heartbeat("small", 3, 90)
        };
        row("1", heartbeat.encode_to_vec(), 5)
    };

    let named = observe(&mut monitor(500), &[released("me")], 10_000, 0);
    let other = observe(&mut monitor(500), &[released("you")], 10_000, 0);
    let free = observe(&mut monitor(500), &[released("")], 10_000, 0);

    assert_eq!(named, FollowerAction::TakeOver(3));
    assert_eq!(other, FollowerAction::CheckAgain(1_060));
    assert_eq!(free, FollowerAction::CheckAgain(60));
}

/// Guards against overload detection that a single late timer triggers, or that a busy process never triggers.
#[test]
fn overload_needs_more_than_one_late_timer() {
    let mut once = OverloadDetector::default();
    let mut always = OverloadDetector::default();

    once.add_sample(500);
    for _ in 0..40 {
        always.add_sample(100);
    }

    assert!(!once.is_overloaded());
    assert!(always.is_overloaded());
}

/// Guards against a panic of a follower because of a heartbeat with a processor share that no machine has.
#[test]
fn a_leader_of_any_size_is_followed() {
    let mut monitor = monitor(500);
    let odd = Heartbeat {
        millicores: u32::MAX,
        ..overloaded(3)
    };

    observe(&mut monitor, &[row("1", odd.encode_to_vec(), 5)], 10_000, 0);
    let action = observe(&mut monitor, &[], 11_000, 0);

    assert_eq!(action, FollowerAction::Follow);
}
