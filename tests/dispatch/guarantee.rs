//! Urgent jobs within the guarantees of their teams, and beyond them.

use std::sync::Arc;

use yuccaridge::graph::{Phase, Step, Submission};
use yuccaridge::port::{Outcome, SiteConfig, Team};

use crate::world::{World, config, gang, name, step, submission};

/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 200;

/// Time within which a guarantee has to be met, in milliseconds; the default of the dispatcher.
const BOUND_MS: u64 = 2_700;

/// A configuration in which each of these teams is guaranteed 8 accelerators.
fn config_of(teams: &[&str]) -> SiteConfig {
    let mut config = config();
    config.version += 1;
    for team in teams {
        let team = Team {
            name: name(team),
            keys: vec![name(&format!("key of {team}"))],
            guaranteed: 8,
        };
        config.teams.insert(Arc::clone(&team.name), team);
    }
    config
}

/// Endpoints that are all held by work of no team that costs more than an urgent job may destroy unless its guarantee is due.
fn full_world(endpoints: u32) -> World {
    let mut world = World::new(endpoints as usize);
    world.dispatcher.configure(Arc::new(config_of(&["other"])));
    world.submit("batch", "batch", vec![step(endpoints, 8, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.advance(1_000);
    world
}

/// Submits an urgent job of a team.
fn submit_urgent(world: &mut World, id: &str, team: &str, steps: Vec<Step>) {
    let submission = Submission {
        team: team.to_owned(),
        ..submission("urgent", steps)
    };
    world
        .dispatcher
        .submit(&name(id), submission, None, Phase::Queued, 0, world.now);
}

/// Advances the time; each stop order takes effect after 200 ms.
fn advance_with_stops(world: &mut World, span_ms: u64) {
    let end = world.now + span_ms;
    let mut seen = world.stops.len();
    let mut stopping = Vec::new();
    while world.now < end {
        world.advance(50.min(end - world.now));
        stopping.extend(
            world.stops[seen..]
                .iter()
                .map(|stop| (world.now + STOP_MS, stop.clone())),
        );
        seen = world.stops.len();
        for (_, stop) in stopping.extract_if(.., |(at, _)| *at <= world.now).collect::<Vec<_>>() {
            world.dispatcher.stopped(&stop, Ok(world.now), world.now);
            let number = world.last_ends.get(&stop.endpoint).map_or(1, |last| last + 1);
            world.report(&stop.endpoint, &[], &[(number, &stop.task, stop.run, Outcome::Stopped)]);
        }
    }
}

fn has_started(world: &World, job: &str) -> bool {
    world.starts.iter().any(|start| *start.job == *job)
}

/// Guards against a guarantee that a team loses for a job that waits because it submits another one.
#[test]
fn a_later_job_does_not_take_the_guarantee_of_an_earlier_one() {
    let mut world = full_world(6);
    submit_urgent(&mut world, "one", "shops", vec![gang(1, 4, 100)]);
    advance_with_stops(&mut world, 500);
    submit_urgent(&mut world, "two", "shops", vec![gang(1, 8, 100)]);

    advance_with_stops(&mut world, BOUND_MS - 500 - 50);

    assert!(has_started(&world, "one"));
    assert!(!has_started(&world, "two"), "with it, the team exceeds its guarantee");
}

/// Guards against stopping a job within its team's guarantee for a job of another team because a later job exceeds it.
#[test]
fn a_later_job_does_not_expose_an_earlier_one_to_preemption() {
    let mut world = World::new(2);
    world.dispatcher.configure(Arc::new(config_of(&["other"])));
    let saves = Step {
        checkpoints: true,
        ..gang(1, 8, 60_000)
    };
    for (id, step) in [("within", saves), ("beyond", gang(1, 8, 60_000))] {
        submit_urgent(&mut world, id, "shops", vec![step]);
        let starts = world.advance(50);
        world.confirm(&starts);
    }
    world.advance(1_000);

    submit_urgent(&mut world, "claimant", "other", vec![gang(1, 8, 100)]);
    advance_with_stops(&mut world, BOUND_MS - 50);

    assert!(has_started(&world, "claimant"));
    let stopped: Vec<&str> = world.stops.iter().map(|stop| &*stop.task).collect();
    assert_eq!(stopped, ["beyond.0.0.0"]);
}
