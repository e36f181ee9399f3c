//! Stored estimates of a former leader that no measurement gives.

use yuccaridge::dispatch::{Learned, LearnedKind, LearnedMoments, LearnedSpeed, LearnedWork};

use crate::world::{BORN, World, entry, name};

fn speed(endpoint: &str, log_speed: f32, total_weight: f32) -> LearnedSpeed {
    LearnedSpeed {
        endpoint: endpoint.to_owned(),
        born: BORN,
        log_speed,
        total_weight,
    }
}

fn work(queue: &str, sum: f64, count: f64) -> LearnedWork {
    LearnedWork {
        queue: queue.to_owned(),
        count,
        sum,
        squares: sum,
        errors: 1.0,
    }
}

fn kind(name: &str, mean: f64, weight: f64) -> LearnedKind {
    let moments = |beside: &str| LearnedMoments {
        beside: beside.to_owned(),
        weight,
        mean,
        squares: 0.0,
    };
    LearnedKind {
        kind: name.to_owned(),
        total: moments(""),
        beside: vec![moments("other")],
    }
}

/// Guards against estimates that are not numbers, which each leader would hand on to its successor.
#[test]
fn estimates_that_are_not_plausible_are_not_restored() {
    let mut world = World::empty();
    let learned = Learned {
        speeds: vec![
            speed("e0", f32::NAN, 1.0),
            speed("e1", 1.0, f32::INFINITY),
            speed("e2", 1e30, 1.0),
            speed("e3", 0.5, 2.0),
        ],
        works: vec![
            work("urgent", f64::NAN, 1.0),
            work("normal", 1.0, f64::INFINITY),
            work("batch", 7.0, 1.0),
        ],
        kinds: vec![
            kind("a", f64::NAN, 2.0),
            kind("b", 0.1, f64::INFINITY),
            kind("c", 0.1, -1.0),
            kind("d", 0.1, 2.0),
        ],
    };

    world.dispatcher.restore(&learned);
    for endpoint in ["e0", "e1", "e2", "e3"] {
        let entry = entry("10.0.0.1:1", "r0");
        world
            .dispatcher
            .update_endpoint(&name(endpoint), Some(entry), world.now);
    }

    let restored = world.dispatcher.learned();
    assert_eq!(restored.speeds, [speed("e3", 0.5, 2.0)]);
    assert_eq!(restored.works, [work("batch", 7.0, 1.0)]);
    assert_eq!(restored.kinds, [kind("d", 0.1, 2.0)]);
}
