//! Kinds of tasks that slow each other down on one endpoint.

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::interference::{Interference, KindStats, Moments};

const SEEDS: u64 = 40;

/// Time between two measurements, in milliseconds.
const INTERVAL_MS: u64 = 2_000;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn kinds(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|text| name(text)).collect()
}

/// Noise with a standard deviation of 0.15.
fn noise(random: &mut SmallRng) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random_range(-0.5..0.5)).sum();
    0.15 * sum
}

/// Measures `render` beside random other kinds: `index` in half of the cases, and `logs` with a share that depends on it.
/// Beside `index` its run time is multiplied by `ratio`.
fn measure(seed: u64, ratio: f64, logs_share: fn(bool) -> f64) -> Interference {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut interference = Interference::default();
    for turn in 0..800 {
        let mut beside = BTreeSet::new();
        let with_index = random.random_bool(0.5);
        if with_index {
            beside.insert(name("index"));
        }
        if random.random_bool(logs_share(with_index)) {
            beside.insert(name("logs"));
        }
        let effect = if with_index { -ratio.ln() } else { 0.0 };
        let log_speed = effect + noise(&mut random);
        interference.observe(&name("render"), log_speed, &beside, turn * INTERVAL_MS);
    }
    interference
}

/// Guards against a harmful pair that is missed, and against one that counts in one direction only.
#[test]
fn a_kind_that_slows_another_by_a_fifth_is_found() {
    for seed in 0..SEEDS {
        let interference = measure(seed, 1.2, |_| 0.5);

        assert!(interference.harms("index", "render"), "seed {seed}");
        assert!(!interference.harms("render", "index"), "seed {seed}");
        assert!(interference.keeps_apart("render", "index"), "seed {seed}");
        assert!(interference.keeps_apart("index", "render"), "seed {seed}");
        assert_eq!(interference.findings().len(), 1, "seed {seed}");
    }
}

/// Guards against pairs that are kept apart because of noise, or for less than a tenth of the run time.
#[test]
fn harmless_kinds_are_not_kept_apart() {
    for seed in 0..SEEDS {
        for ratio in [1.0, 1.03, 0.8] {
            let interference = measure(seed, ratio, |_| 0.5);

            assert_eq!(interference.findings(), [], "seed {seed}, ratio {ratio}");
        }
    }
}

/// Guards against blame for a kind that often comes along: its share of the effect is that by which it is more frequent
/// beside the harmful kind, here a fifth of 30%, so less than a tenth of the run time.
#[test]
fn a_kind_that_often_comes_along_is_not_blamed() {
    for seed in 0..SEEDS {
        let interference = measure(seed, 1.3, |with_index| if with_index { 0.6 } else { 0.4 });

        assert!(interference.harms("index", "render"), "seed {seed}");
        assert!(!interference.harms("logs", "render"), "seed {seed}");
    }
}

/// Guards against a pair that has nothing to compare with because its measurements without the other came first.
#[test]
fn a_pair_that_is_first_seen_late_is_compared_with_all_earlier_measurements() {
    let mut interference = Interference::default();
    for turn in 0..20 {
        interference.observe(&name("render"), 0.0, &kinds(&["logs"]), turn * INTERVAL_MS);
    }
    for turn in 20..40 {
        interference.observe(&name("render"), -0.5, &kinds(&["index", "render"]), turn * INTERVAL_MS);
    }

    assert!(interference.harms("index", "render"));
    assert!(interference.keeps_apart("render", "render"));
    assert!(!interference.harms("logs", "render"));
}

/// Guards against a verdict that outlives its cause, such as a former version of an image.
#[test]
fn weights_halve_in_ten_minutes_and_a_new_version_is_judged_anew() {
    let mut interference = measure(1, 1.5, |_| 0.5);
    let start = 800 * INTERVAL_MS;
    interference.forget(start);
    let before = interference.kinds()["render"].total.weight;

    interference.forget(start + 600_000);
    let after = interference.kinds()["render"].total.weight;
    for turn in 0..1_000 {
        let beside = kinds(if turn % 2 == 0 { &["index"] } else { &[] });
        interference.observe(&name("render"), 0.0, &beside, start + 600_000 + turn * 3_600);
    }

    assert!((after / before - 0.5).abs() < 1e-9, "{before} became {after}");
    assert_eq!(interference.findings(), []);
    interference.forget(start + 100 * 600_000);
    assert!(interference.kinds().is_empty());
}

/// Guards against memory that grows with the number of images, and against the loss of what is known best.
#[test]
fn pairs_and_kinds_are_bounded_and_those_with_the_least_evidence_go_first() {
    let mut interference = measure(1, 1.5, |_| 0.5);
    let now = 800 * INTERVAL_MS;
    for index in 0..600 {
        let others: Vec<String> = (0..3).map(|other| format!("other-{index}-{other}")).collect();
        let others: BTreeSet<Arc<str>> = others.iter().map(|other| name(other)).collect();
        interference.observe(&name(&format!("kind-{index}")), 0.0, &others, now);
        interference.observe(&name("render"), 0.0, &others, now);
    }

    let pairs: usize = interference.kinds().values().map(|stats| stats.beside.len()).sum();
    assert!(pairs <= 256, "{pairs} pairs");
    assert!(interference.kinds().len() <= 256);
    assert!(interference.kinds()["render"].beside.contains_key("index"));
}

/// Guards against a value that is not a number, which would stay in the mean for ever.
#[test]
fn implausible_measurements_and_damaged_rows_are_left_out() {
    let mut interference = Interference::default();
    for value in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300] {
        interference.observe(&name("render"), value, &kinds(&["index"]), 0);
    }
    let sound = Moments {
        weight: 5.0,
        mean: 0.1,
        squares: 0.2,
    };
    let damaged = [
        Moments { weight: -1.0, ..sound },
        Moments {
            weight: f64::NAN,
            ..sound
        },
        Moments { mean: 1e30, ..sound },
        Moments {
            mean: f64::NAN,
            ..sound
        },
        Moments { squares: -1.0, ..sound },
        Moments {
            squares: f64::INFINITY,
            ..sound
        },
    ];
    for moments in damaged {
        let total = KindStats {
            total: moments,
            ..KindStats::default()
        };
        interference.restore(&name("total"), total, 0);
        let pair = KindStats {
            total: sound,
            beside: [(name("index"), moments)].into(),
        };
        interference.restore(&name("pair"), pair, 0);
    }
    let more_than_all = KindStats {
        total: sound,
        beside: [(name("index"), Moments { weight: 6.0, ..sound })].into(),
    };
    interference.restore(&name("more"), more_than_all, 0);

    assert!(interference.kinds().is_empty());
}
