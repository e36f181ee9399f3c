//! Tasks that slow each other down on one endpoint.
//!
//! The pattern is two images that compete for memory bandwidth on a fleet with endpoints of different speeds.

use std::collections::BTreeMap;
use std::sync::Arc;

use prost::Message;
use yuccaridge::dispatch::{Learned, LearnedKind, LearnedMoments, Start};
use yuccaridge::graph::Step;
use yuccaridge::port::{Outcome, Report, RunningTask};

use crate::world::{BORN, World, entry, gang, name, step};

const ENDPOINTS: usize = 8;

/// Time between two reports, in milliseconds.
const TURN_MS: u64 = 500;

/// Estimated run time of the tasks, in milliseconds.
const ESTIMATE_MS: u64 = 20_000;

fn tasks(image: &str, count: u32, label: &str) -> Step {
    Step {
        image: image.to_owned(),
        label: label.to_owned(),
        per_endpoint_max: 1,
        ..step(count, 1, ESTIMATE_MS)
    }
}

/// Speed of an endpoint relative to the estimate.
fn speed_of(endpoint: &str) -> f64 {
    let index: u32 = endpoint[1..].parse().expect("a number");
    [1.0, 0.5, 0.8, 1.3][index as usize % 4]
}

/// Lets these starts run to their end; a run of `render` takes `ratio` times as long beside one of `index`.
fn run(world: &mut World, starts: &[Start], ratio: f64) {
    let mut by_endpoint: BTreeMap<Arc<str>, Vec<(&Start, f64)>> = BTreeMap::new();
    for start in starts {
        let runs = by_endpoint.entry(Arc::clone(&start.endpoint)).or_default();
        runs.push((start, 0.0));
    }
    while !by_endpoint.is_empty() {
        world.now += TURN_MS;
        for (endpoint, runs) in &mut by_endpoint {
            let together = runs.len() > 1;
            for (start, percent) in &mut *runs {
                let slow = together && start.job.starts_with("render");
                let speed = speed_of(endpoint) / if slow { ratio } else { 1.0 };
                *percent += TURN_MS as f64 * speed * 100.0 / ESTIMATE_MS as f64;
            }
            let mut ended = Vec::new();
            let mut running = Vec::new();
            let last_end = world.dispatcher.endpoints()[endpoint].last_end;
            for (start, percent) in &*runs {
                if *percent >= 100.0 {
                    ended.push((
                        last_end + 1 + ended.len() as u64,
                        &*start.task,
                        start.run,
                        Outcome::Done,
                    ));
                } else {
                    running.push((&*start.task, start.run, percent.floor()));
                }
            }
            world.dispatcher.hold(endpoint, world.now);
            world.report(endpoint, &running, &ended);
            runs.retain(|(_, percent)| *percent < 100.0);
        }
        by_endpoint.retain(|_, runs| !runs.is_empty());
        world.turn();
    }
}

/// A fleet on which `render` has run, in turns on half of the endpoints beside `index`.
fn experienced(ratio: f64) -> World {
    let mut world = World::new(ENDPOINTS);
    for turn in 0..6 {
        let rack = format!("r{}", turn % 2);
        world.submit(&format!("index-{turn}"), "normal", vec![tasks("index", 4, &rack)]);
        world.submit(&format!("render-{turn}"), "batch", vec![tasks("render", 8, "")]);
        let starts = world.advance(100);
        assert_eq!(starts.len(), 12);
        world.confirm(&starts);
        run(&mut world, &starts, ratio);
        world.advance(100);
    }
    world
}

/// A leader that reads what a former one has learned.
fn restored(learned: &Learned) -> World {
    let mut world = World::empty();
    world.dispatcher.restore(learned);
    for index in 0..ENDPOINTS {
        let entry = entry(&format!("10.0.0.{index}:1"), &format!("r{}", index / 4));
        let endpoint = format!("e{index}");
        world
            .dispatcher
            .update_endpoint(&name(&endpoint), Some(entry), world.now);
        world.report(&endpoint, &[], &[]);
    }
    world
}

/// Measurements by which `kind` takes twice as long beside `other`.
fn slowed(kind: &str, other: &str) -> Learned {
    let moments = |beside: &str, weight: f64, mean: f64, squares: f64| LearnedMoments {
        beside: beside.to_owned(),
        weight,
        mean,
        squares,
    };
    let half = 0.5_f64.ln();
    Learned {
        kinds: vec![LearnedKind {
            kind: kind.to_owned(),
            total: moments("", 40.0, half / 2.0, 10.0 * half * half),
            beside: vec![moments(other, 20.0, half, 0.0)],
        }],
        ..Learned::default()
    }
}

/// Starts `index` on the endpoints with this label, and then as many tasks of `render`; returns the endpoints of the
/// latter.
fn place_beside(world: &mut World, count: u32, label: &str) -> Vec<Arc<str>> {
    world.submit("index", "normal", vec![tasks("index", count, label)]);
    let starts = world.advance(100);
    assert_eq!(starts.len(), count as usize);
    world.confirm(&starts);
    world.submit("render", "batch", vec![tasks("render", count, "")]);
    let starts = world.advance(100);
    starts.iter().map(|start| Arc::clone(&start.endpoint)).collect()
}

/// Number of these endpoints that are in rack `r0`.
fn in_first_rack(endpoints: &[Arc<str>]) -> usize {
    endpoints.iter().filter(|endpoint| ***endpoint < *"e4").count()
}

/// Guards against a harmful pair that is placed together although other endpoints have room.
#[test]
fn a_harmful_pair_is_placed_apart_where_there_is_room() {
    let mut world = experienced(1.6);

    let chosen = place_beside(&mut world, 4, "r0");

    assert_eq!(world.dispatcher.interfering_pairs(), 1);
    assert_eq!((chosen.len(), in_first_rack(&chosen)), (4, 0));
}

/// Guards against waiting for an endpoint without the harmful kind.
#[test]
fn a_harmful_pair_is_placed_together_where_there_is_no_other_room() {
    let mut world = experienced(1.6);

    let chosen = place_beside(&mut world, 8, "");

    assert_eq!(chosen.len(), 8);
}

/// Guards against endpoints of different speeds, and the tasks that happen to run there, that count as interference.
#[test]
fn a_harmless_pair_is_placed_as_before() {
    let mut world = experienced(1.0);

    let chosen = place_beside(&mut world, 4, "r0");

    assert_eq!(world.dispatcher.interfering_pairs(), 0);
    assert!(in_first_rack(&chosen) > 0, "{chosen:?}");
}

/// Guards against a new leader that has to learn the pair again.
#[test]
fn a_harmful_pair_survives_a_takeover() {
    let learned = experienced(1.6).dispatcher.learned();
    let mut world = restored(&learned);

    let chosen = place_beside(&mut world, 4, "r0");

    assert_eq!(world.dispatcher.interfering_pairs(), 1);
    assert_eq!((chosen.len(), in_first_rack(&chosen)), (4, 0));
}

/// Guards against a gang that is placed in the rack of the harmful kind, and against pairs that count in one direction.
#[test]
fn a_gang_is_placed_in_the_rack_without_the_harmful_kind() {
    for learned in [slowed("render", "index"), slowed("index", "render")] {
        let mut world = restored(&learned);
        place_beside(&mut world, 4, "r0");
        let render = Step {
            image: "render".to_owned(),
            ..gang(4, 4, ESTIMATE_MS)
        };

        world.submit("gang", "normal", vec![render]);
        let starts = world.advance(100);

        let chosen: Vec<Arc<str>> = starts.iter().map(|start| Arc::clone(&start.endpoint)).collect();
        assert_eq!((chosen.len(), in_first_rack(&chosen)), (4, 0));
    }
}

/// Guards against a kind that slows itself down and is placed together, and against a search for many equal tasks that
/// differs from one search for each.
#[test]
fn a_kind_that_slows_itself_down_is_spread() {
    let render = |count: u32| Step {
        per_endpoint_max: 0,
        ..tasks("render", count, "")
    };
    let mut together = restored(&slowed("render", "render"));
    let mut single = restored(&slowed("render", "render"));
    let mut ganged = restored(&slowed("render", "render"));

    together.submit("job", "batch", vec![render(12)]);
    for index in 0..12 {
        single.submit(&format!("job-{index:02}"), "batch", vec![render(1)]);
    }
    let gang = Step {
        gang: true,
        ..render(12)
    };
    ganged.submit("job", "batch", vec![gang]);

    let chosen = [together, single, ganged].map(|mut world| {
        let starts = world.advance(100);
        starts
            .iter()
            .map(|start| Arc::clone(&start.endpoint))
            .collect::<Vec<_>>()
    });
    assert_eq!(chosen[0], chosen[1]);
    for chosen in &chosen {
        let mut first: Vec<&Arc<str>> = chosen.iter().take(ENDPOINTS).collect();
        first.sort();
        first.dedup();
        assert_eq!((chosen.len(), first.len()), (12, ENDPOINTS));
    }
}

/// Guards against a row that the store refuses, along with the whole transaction.
#[test]
fn what_is_learned_of_many_kinds_fits_a_row() {
    let mut learned = Learned::default();
    for index in 0..256 {
        let long_name = format!("{index:0300}");
        learned.kinds.append(&mut slowed(&long_name, &long_name).kinds);
    }

    let stored = restored(&learned).dispatcher.learned();

    let bytes = stored.encoded_len();
    assert!(!stored.kinds.is_empty());
    assert!(bytes <= 48 * 1_024, "{bytes} bytes");
}

/// Guards against tail latencies that are ignored, or counted with each report.
#[test]
fn the_tail_latency_of_a_lasting_task_counts_once_in_ten_seconds() {
    let mut world = World::new(1);
    let shop = Step {
        lasting: true,
        tail_latency_max_ms: 50,
        ..tasks("shop", 1, "")
    };
    world.submit("shop", "normal", vec![shop]);
    let shop = world.advance(100);
    world.confirm(&shop);
    let running = |start: &Start, load: f64| RunningTask {
        task: Arc::clone(&start.task),
        run: start.run,
        checkpoint: name(""),
        percent: 100.0,
        load,
    };
    let report = |world: &mut World, runs: Vec<RunningTask>| {
        world.now += 2_500;
        world.dispatcher.hold(&name("e0"), world.now);
        let report = Report {
            born: Some(BORN),
            clock_ms: world.now,
            running: runs,
            ended: Vec::new(),
            more_ends: false,
        };
        world.dispatcher.report(&name("e0"), &report, 0, world.now, world.now);
        world.turn();
    };
    for _ in 0..80 {
        report(&mut world, vec![running(&shop[0], 20.0)]);
    }
    let index = Step {
        lasting: true,
        ..tasks("index", 1, "")
    };
    world.submit("index", "normal", vec![index]);
    let index = world.advance(100);
    world.confirm(&index);
    for _ in 0..80 {
        report(&mut world, vec![running(&shop[0], 30.0), running(&index[0], 0.0)]);
    }

    let learned = world.dispatcher.learned();
    let weight = learned.kinds[0].total.weight;
    assert_eq!(learned.kinds[0].kind, "shop");
    // 40 measurements at intervals of 10 s, of which the older ones count less.
    assert!((30.0..=34.0).contains(&weight), "weight {weight}");
    assert_eq!(world.dispatcher.interfering_pairs(), 1);
}
