//! Gangs run as a whole or not at all.

use std::sync::Arc;

use yuccaridge::dispatch::Start;
use yuccaridge::graph::Phase;
use yuccaridge::port::{OrderError, Outcome, Refusal};

use crate::world::{BORN, World, gang, name, submission};

/// Guards against stopping a gang as stalled because a member on a fast endpoint is done early and waits for the
/// others.
#[test]
fn a_finished_member_waits_for_the_others() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let at = |member: usize| starts[member].endpoint.to_string();

    for round in 0..20_u32 {
        let slow = f64::from(round) * 5.0;
        world.report(&at(0), &[("job.0.0.0", 1, 100.0)], &[]);
        world.report(&at(1), &[("job.0.0.1", 1, slow)], &[]);
        world.advance(500);
    }

    assert_eq!(world.stops, []);
}

/// Guards against a hanging gang that keeps its accelerators.
#[test]
fn a_gang_without_progress_is_stopped() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);

    for _ in 0..8 {
        for (member, start) in starts.iter().enumerate() {
            world.report(&start.endpoint, &[(&format!("job.0.0.{member}"), 1, 30.0)], &[]);
        }
        world.advance(500);
    }

    assert_eq!(world.stops.iter().map(|stop| stop.run).min(), Some(1));
    assert!(world.stops.len() >= 2);
}

/// Guards against members that keep waiting for one whose start was refused.
#[test]
fn a_refused_member_stops_the_others() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts[..1]);

    let refused = OrderError::Refused {
        refusal: Refusal::Unwell,
        clock_ms: None,
    };
    world.dispatcher.started(&starts[1], Err(refused), world.now);
    let before = world.advance(100);

    assert_eq!(world.stops.len(), 1);
    assert_eq!(world.stops[0].task, starts[0].task);
    assert_eq!(before, [], "no second run while the first may still exist");
    world.report(&starts[0].endpoint, &[], &[(1, "job.0.0.0", 1, Outcome::Stopped)]);
    let again = world.advance(100);
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|start| start.run == 2));
}

/// Reports that all these runs have failed; the first end of each endpoint has the number `first`.
fn fail(world: &mut World, starts: &[Start], first: u64) {
    let mut endpoints: Vec<_> = starts.iter().map(|start| Arc::clone(&start.endpoint)).collect();
    endpoints.dedup();
    for endpoint in endpoints {
        let here = starts.iter().filter(|start| start.endpoint == endpoint);
        let ends: Vec<_> = (first..)
            .zip(here)
            .map(|(number, start)| (number, &*start.task, start.run, Outcome::Failed))
            .collect();
        world.report(&endpoint, &[], &ends);
    }
}

/// Guards against a job that is shown as failed before its attempts are used up, because several members of a gang fail
/// in one run; and against a further start once they are.
#[test]
fn a_run_in_which_several_members_fail_is_one_attempt() {
    for accelerators in [1, 8] {
        let mut world = World::new(8);
        world.allow_attempts(2);
        world.submit("job", "normal", vec![gang(2, accelerators, 10_000)]);

        let first = world.advance(50);
        world.confirm(&first);
        fail(&mut world, &first, 1);
        let second = world.advance(500);
        let between = world.job("job").phase;
        world.confirm(&second);
        fail(&mut world, &second, 3);
        let third = world.advance(500);

        assert_eq!(between, Phase::Running, "after one failed run of two");
        assert_eq!(second.iter().map(|start| start.run).collect::<Vec<_>>(), [2, 2]);
        assert_eq!(world.job("job").phase, Phase::Failed);
        assert_eq!(third, []);
    }
}

/// Guards against a run that counts as two attempts because the ends of its members are read by two leaders.
#[test]
fn a_run_whose_members_fail_around_a_takeover_is_one_attempt() {
    let mut first = World::new(4);
    first.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = first.advance(50);
    first.confirm(&starts);
    first.report(&starts[0].endpoint, &[], &[(1, &*starts[0].task, 1, Outcome::Failed)]);
    first.advance(50);
    let record = first.job("job").record.clone();

    let mut second = World::empty();
    second.allow_attempts(2);
    for endpoint in ["e0", "e1", "e2", "e3"] {
        second.enter(endpoint, BORN);
    }
    let job = submission("normal", vec![gang(2, 8, 10_000)]);
    second
        .dispatcher
        .submit(&name("job"), job, Some(&record), Phase::Running, 0, second.now);
    for start in &starts {
        second.report(&start.endpoint, &[], &[(1, &*start.task, 1, Outcome::Failed)]);
    }
    for endpoint in ["e0", "e1", "e2", "e3"] {
        second.report(endpoint, &[], &[]);
    }
    let again = second.advance(500);

    assert_eq!(second.job("job").phase, Phase::Running);
    assert_eq!(again.iter().map(|start| start.run).collect::<Vec<_>>(), [2, 2]);
}
