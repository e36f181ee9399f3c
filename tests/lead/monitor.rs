//! What a follower makes of what it hears; the pattern is a store or a leader that is slow.

use std::sync::Arc;

use prost::Message;
use yuccaridge::lead::{Heard, Heartbeat, Offer, Strain, Timing, Verdict, Watch};
use yuccaridge::port::Row;

use crate::world::beat;

fn watch(millicores: u32) -> Watch {
    let timing = Timing {
        heartbeat_interval_ms: 500,
        heartbeat_timeout_ms: 1_500,
        takeover_delay_ms: 60,
        millicores,
        retention_ms: 60_000,
    };
    Watch::new(Arc::from("me"), timing, 0)
}

fn row(key: &str, value: Vec<u8>, version: u64) -> Row {
    Row {
        key: Arc::from(key),
        value: Some(value),
        version,
    }
}

/// An answer at a time that all clocks share; `took` is its time beside the wait.
fn hear(watch: &mut Watch, rows: &[Row], now: u64, took: u64) -> Verdict {
    watch.hear(&Heard {
        rows,
        whole: false,
        clock_ms: now,
        sent: now.saturating_sub(500 + took),
        now,
        wait_ms: 500,
    });
    watch.verdict(now)
}

fn strained(fence: u64) -> Heartbeat {
    Heartbeat {
        strained: true,
        ..beat("small", fence, 90)
    }
}

/// Guards against two leaders by turns while the store answers slowly.
#[test]
fn slow_answers_lengthen_the_wait_for_a_renewal() {
    let beat = row("1", beat("small", 3, 90).encode_to_vec(), 5);
    let mut slow = watch(500);
    let mut quick = watch(500);

    hear(&mut slow, std::slice::from_ref(&beat), 10_000, 0);
    hear(&mut quick, &[beat], 10_000, 0);

    assert_eq!(hear(&mut quick, &[], 11_600, 5), Verdict::Take(3));
    assert_eq!(hear(&mut slow, &[], 11_600, 300), Verdict::Follow);
    assert_eq!(hear(&mut slow, &[], 12_500, 300), Verdict::Take(3));
}

/// Guards against a leader that is too small for the load and keeps the lead.
#[test]
fn a_larger_instance_offers_to_replace_a_strained_leader() {
    let mut watch = watch(500);

    let first = hear(&mut watch, &[row("1", strained(3).encode_to_vec(), 5)], 10_000, 0);
    let later = hear(&mut watch, &[], 11_000, 0);
    let renewed = Heartbeat {
        count: 2,
        ..strained(3)
    };
    let settled = hear(&mut watch, &[row("1", renewed.encode_to_vec(), 6)], 12_300, 0);

    assert_eq!(first, Verdict::Follow);
    assert_eq!(later, Verdict::Follow);
    assert_eq!(settled, Verdict::Offer { fence: 3, version: 0 });
}

/// Guards against offers that cost a change of the leader and gain nothing.
#[test]
fn no_offer_goes_to_a_leader_that_keeps_up_or_is_as_large() {
    let mut larger = watch(500);
    let mut equal = watch(150);
    let calm = row("1", beat("small", 3, 90).encode_to_vec(), 5);
    let busy = row("1", strained(3).encode_to_vec(), 5);

    hear(&mut larger, std::slice::from_ref(&calm), 10_000, 0);
    hear(&mut equal, std::slice::from_ref(&busy), 10_000, 0);
    let again = |beat: Heartbeat| row("1", Heartbeat { count: 9, ..beat }.encode_to_vec(), 9);

    let to_calm = hear(&mut larger, &[again(beat("small", 3, 90))], 13_000, 0);
    let to_equal = hear(&mut equal, &[again(strained(3))], 13_000, 0);
    assert_eq!(to_calm, Verdict::Follow);
    assert_eq!(to_equal, Verdict::Follow);
}

/// Guards against many instances that all offer.
#[test]
fn an_offer_of_another_is_waited_for() {
    let mut watch = watch(500);
    hear(&mut watch, &[row("1", strained(3).encode_to_vec(), 5)], 10_000, 0);
    let offer = Offer {
        name: "other".to_owned(),
        fence: 3,
        millicores: 500,
    };

    hear(&mut watch, &[row("offer", offer.encode_to_vec(), 8)], 12_100, 0);
    let renewed = |count| row("1", Heartbeat { count, ..strained(3) }.encode_to_vec(), 8 + count);
    let soon = hear(&mut watch, &[renewed(2)], 12_400, 0);
    for at in 0..7 {
        hear(&mut watch, &[renewed(3 + at)], 12_900 + 500 * at, 0);
    }
    let late = hear(&mut watch, &[renewed(20)], 16_200, 0);

    assert_eq!(soon, Verdict::Follow);
    assert_eq!(late, Verdict::Offer { fence: 3, version: 8 });
}

/// Guards against others that take the lead before the instance it was handed to.
#[test]
fn a_named_successor_takes_the_lead_and_others_wait() {
    let released = |successor: &str| {
        let beat = Heartbeat {
            released: true,
            successor: successor.to_owned(),
            ..beat("small", 3, 90)
        };
        row("1", beat.encode_to_vec(), 5)
    };

    let named = hear(&mut watch(500), &[released("me")], 10_000, 0);
    let other = hear(&mut watch(500), &[released("you")], 10_000, 0);
    let free = hear(&mut watch(500), &[released("")], 10_000, 0);

    assert_eq!(named, Verdict::Take(3));
    assert_eq!(other, Verdict::LookAgain(1_060));
    assert_eq!(free, Verdict::LookAgain(60));
}

/// Guards against a measure of strain that a single late timer trips, or a busy process never does.
#[test]
fn strain_needs_more_than_one_late_timer() {
    let mut once = Strain::default();
    let mut always = Strain::default();

    once.look(500);
    for _ in 0..40 {
        always.look(100);
    }

    assert!(!once.is_strained());
    assert!(always.is_strained());
}
