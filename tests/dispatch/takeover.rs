//! Takeover: what a new leader must find in the stored state.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccaridge::graph::{JobRecord, Phase, Place, Step, UnitRecord};
use yuccaridge::port::Outcome;

use crate::world::{BORN, World, gang, name, step, submission};

/// A leader with the endpoints `e0` to `e3` that reads a running job with this record.
fn take_over(steps: Vec<Step>, record: &JobRecord) -> World {
    let mut world = World::empty();
    for endpoint in ["e0", "e1", "e2", "e3"] {
        world.enter(endpoint, BORN);
    }
    let job = submission("batch", steps);
    world
        .dispatcher
        .submit(&name("job"), job, Some(record), Phase::Running, 0, world.now);
    world
}

/// Record of a gang of which only the members with these places may exist.
fn partial_gang(places: &[(u32, &str)]) -> JobRecord {
    let places: BTreeMap<u32, Place> = places
        .iter()
        .map(|(member, endpoint)| {
            let place = Place {
                endpoint: (*endpoint).to_owned(),
                born: BORN,
            };
            (*member, place)
        })
        .collect();
    let unit = UnitRecord {
        position: 0,
        done: false,
        run: 1,
        failures: 0,
        last_run_failed: false,
        checkpoint: String::new(),
        places,
    };
    JobRecord { units: vec![unit] }
}

/// Guards against a second start of a task whose end was acknowledged to its endpoint before it was stored.
#[test]
fn an_end_is_stored_before_the_endpoint_may_forget_it() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(2, 1, 1_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);

    world.report("e0", &[("job.0.0.1", 1, 50.0)], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    world.advance(50);

    let done: Vec<bool> = world.job("job").record.units.iter().map(|unit| unit.done).collect();
    assert_eq!(done, [true, false]);
    assert_eq!(world.last_ends["e0"], 1);
}

/// Guards against a second run beside one that a former leader started on an endpoint that does not report.
#[test]
fn a_run_on_a_silent_endpoint_is_not_started_again() {
    let mut first = World::new(2);
    first.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = first.advance(50);
    let record = first.job("job").record.clone();
    let endpoint = Arc::clone(&starts[0].endpoint);

    let mut second = World::new(0);
    for at in ["e0", "e1"] {
        let entry = crate::world::entry("10.0.0.1:1", "r0");
        second.dispatcher.update_endpoint(&name(at), Some(entry), second.now);
        if *endpoint != *at {
            second.report(at, &[], &[]);
        }
    }
    let again = submission("batch", vec![step(1, 1, 1_000)]);
    second
        .dispatcher
        .submit(&name("job"), again, Some(&record), Phase::Running, 0, second.now);

    assert_eq!(second.advance(5_000), []);

    // Its endpoint finally reports without this run; from then on it refuses orders of the former leader.
    second.report(&endpoint, &[], &[]);
    let starts = second.advance(50);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run, 2);
}

/// Guards against loss of work on a change of the leader.
#[test]
fn a_continuing_run_is_adopted() {
    let mut first = World::new(1);
    first.submit("job", "batch", vec![step(1, 1, 1_000)]);
    first.advance(50);
    let record = first.job("job").record.clone();

    let mut second = World::new(0);
    let again = submission("batch", vec![step(1, 1, 1_000)]);
    second
        .dispatcher
        .submit(&name("job"), again, Some(&record), Phase::Running, 0, second.now);
    let entry = crate::world::entry("10.0.0.1:1", "r0");
    second.dispatcher.update_endpoint(&name("e0"), Some(entry), second.now);
    second.report("e0", &[("job.0.0.0", 1, 50.0)], &[]);

    assert_eq!(second.advance(500), []);
    assert_eq!(second.stops, []);
    second.report("e0", &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    second.advance(50);
    assert_eq!(second.job("job").phase, Phase::Done);
}

/// Guards against records that name the places of a partial gang by other tasks, so that the leader after the next one
/// does not recognize the end of the run.
#[test]
fn a_partial_gang_survives_two_takeovers() {
    let steps = vec![gang(3, 1, 1_000), step(1, 1, 1_000)];
    let mut second = take_over(steps.clone(), &partial_gang(&[(1, "e1"), (2, "e2")]));
    second.report("e3", &[], &[]);
    second.advance(100);
    let record = second.job("job").record.clone();

    let mut third = take_over(steps, &record);
    third.report("e1", &[], &[(1, "job.0.0.1", 1, Outcome::Done)]);
    third.report("e2", &[], &[(1, "job.0.0.2", 1, Outcome::Done)]);
    third.report("e0", &[], &[]);
    third.advance(500);

    let members: Vec<u32> = record.units[0].places.keys().copied().collect();
    assert_eq!(members, [1, 2]);
    assert!(third.job("job").record.units[0].done);
    assert!(third.starts.iter().all(|start| !start.task.starts_with("job.0.0.")));
}

/// Guards against a second run of a task that ended on an incarnation which the former leader did not know.
#[test]
fn a_run_of_an_earlier_incarnation_may_have_ended_in_the_present_one() {
    let mut world = World::empty();
    world.enter("e0", BORN + 1);
    world.enter("e1", BORN);
    world.report("e1", &[], &[]);
    let job = submission("batch", vec![gang(2, 1, 1_000)]);
    let record = partial_gang(&[(0, "e0"), (1, "e0")]);
    world
        .dispatcher
        .submit(&name("job"), job, Some(&record), Phase::Running, 0, world.now);

    let before = world.advance(500);
    let ends = [(1, "job.0.0.0", 1, Outcome::Done), (2, "job.0.0.1", 1, Outcome::Done)];
    world.report_as("e0", BORN + 1, 0, &[], &ends);
    let after = world.advance(500);

    assert_eq!(before, []);
    assert_eq!(after, []);
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a run that cannot be stopped because the record of the former leader names an earlier incarnation of
/// its endpoint.
#[test]
fn a_run_adopted_on_a_later_incarnation_can_be_stopped() {
    let mut world = World::empty();
    world.enter("e0", BORN + 1);
    let job = submission("batch", vec![gang(1, 1, 60_000)]);
    world.dispatcher.submit(
        &name("job"),
        job,
        Some(&partial_gang(&[(0, "e0")])),
        Phase::Running,
        0,
        world.now,
    );
    world.report_as("e0", BORN + 1, 0, &[("job.0.0.0", 1, 5.0)], &[]);

    world.dispatcher.cancel("job", world.now);
    world.advance(50);

    let stops: Vec<u64> = world.stops.iter().map(|stop| stop.born).collect();
    assert_eq!(stops, [BORN + 1]);
}
