//! Endpoints that restart under the same name.
//!
//! Orders for the old incarnation may be executed by the new one, so a run that was placed on the old one may exist, or
//! have ended, on the new one.

use yuccaridge::dispatch::Start;
use yuccaridge::port::{OrderError, Outcome};

use crate::world::{BORN, World, name, step};

/// Two endpoints; `e0` or `e1` was sent the only task of `job`, and no answer has come.
fn started_task() -> (World, Start) {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![step(1, 1, 10_000)]);
    let starts = world.advance(50);
    let lost = OrderError::Unknown("lost".to_owned());
    world.dispatcher.started(&starts[0], Err(lost), world.now);
    (world, starts[0].clone())
}

/// Runs that were started after the first.
fn later_runs(world: &World) -> Vec<&Start> {
    world.starts.iter().filter(|start| start.run > 1).collect()
}

/// Guards against a second run beside one that the new incarnation has executed.
#[test]
fn a_run_that_the_new_incarnation_lists_is_not_started_elsewhere() {
    let (mut world, start) = started_task();

    world.report_as(&start.endpoint, BORN + 1, 0, &[("job.0.0.0", 1, 5.0)], &[]);
    world.advance(200);
    world.report_as(&start.endpoint, BORN + 1, 0, &[("job.0.0.0", 1, 7.0)], &[]);
    world.advance(200);

    assert_eq!(later_runs(&world), Vec::<&Start>::new());
}

/// Guards against a second run of a task that has ended on an incarnation which the leader did not know yet.
#[test]
fn a_run_that_ended_in_the_new_incarnation_is_done() {
    let (mut world, start) = started_task();

    for _ in 0..2 {
        world.report_as(&start.endpoint, BORN + 1, 0, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
        world.advance(500);
    }

    assert_eq!(later_runs(&world), Vec::<&Start>::new());
    assert!(world.job("job").record.units[0].done);
}

/// Guards against giving up a run because of the entry of a new incarnation that may execute or have executed its
/// start.
#[test]
fn a_run_is_not_given_up_before_the_new_incarnation_has_reported() {
    let (mut world, start) = started_task();

    world.enter(&start.endpoint, BORN + 1);
    world.advance(1_000);
    let before = later_runs(&world).len();
    world.report_as(&start.endpoint, BORN + 1, 0, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    world.advance(500);

    assert_eq!(before, 0);
    assert_eq!(later_runs(&world), Vec::<&Start>::new());
    assert!(world.job("job").record.units[0].done);
}

/// Guards against work that waits for ever for a run of an incarnation that is gone.
#[test]
fn a_run_that_the_new_incarnation_does_not_know_starts_again() {
    let (mut world, start) = started_task();

    world.enter(&start.endpoint, BORN + 1);
    for _ in 0..4 {
        world.report_as(&start.endpoint, BORN + 1, 0, &[], &[]);
        world.advance(500);
    }

    assert_eq!(later_runs(&world).first().map(|start| start.run), Some(2));
}

/// Guards against orders for an earlier incarnation that the new one carries out late: it refuses them only if the orders
/// for it have a higher fencing token.
#[test]
fn orders_to_a_new_incarnation_have_a_higher_token() {
    let (mut world, start) = started_task();
    let before = world.dispatcher.fence_of(&start.endpoint);

    world.enter(&start.endpoint, BORN + 1);
    let meanwhile = world.dispatcher.hold(&start.endpoint, world.now);
    world.advance(100);
    let hold = world.dispatcher.hold(&start.endpoint, world.now);

    assert_eq!(meanwhile, None, "no order before the token is stored");
    assert!(hold.map(|hold| hold.fence) > before);
}

/// Guards against work on a new incarnation that may still carry out orders for the earlier one.
#[test]
fn a_new_incarnation_gets_no_work_before_it_has_answered() {
    let mut world = World::new(1);
    world.dispatcher.hold(&name("e0"), world.now);
    world.enter("e0", BORN + 1);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);

    let before = world.advance(500);
    world.report_as("e0", BORN + 1, 0, &[], &[]);
    let after = world.advance(100);

    assert_eq!(before, []);
    assert_eq!(after.len(), 1);
}

/// Guards against a token that is not raised because the endpoint was forgotten between its two incarnations.
#[test]
fn an_endpoint_that_was_dropped_is_not_forgotten() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.dispatcher.hold(&name("e0"), world.now);
    let before = world.dispatcher.fence_of("e0");
    world.dispatcher.update_endpoint(&name("e0"), None, world.now);
    world.advance(30_000);
    assert_eq!(world.dispatcher.fence_of("e0"), None);

    world.enter("e0", BORN + 1);
    world.advance(100);

    assert!(world.dispatcher.fence_of("e0") > before);
}

/// Guards against a token that is not raised because the endpoint was forgotten after its restart, before a transaction
/// could raise the token.
#[test]
fn an_endpoint_dropped_before_its_token_is_raised_is_not_forgotten() {
    let mut world = World::new(1);
    world.dispatcher.hold(&name("e0"), world.now);
    let before = world.dispatcher.fence_of("e0");
    world.dispatcher.update_endpoint(&name("e0"), None, world.now);
    world.report_as("e0", BORN + 1, 0, &[], &[]);
    world.now += 100;
    let effects = world.dispatcher.step(world.now, world.now);
    assert_eq!(effects, []);

    world.enter("e0", BORN + 1);
    world.advance(100);

    assert!(world.dispatcher.fence_of("e0") > before);
}

/// Guards against ends that are never acknowledged because a hold for the old incarnation acknowledged higher numbers.
#[test]
fn an_acknowledgement_to_the_old_incarnation_does_not_count_for_the_new_one() {
    let mut world = World::new(1);
    world.report_as("e0", BORN + 1, 5, &[], &[]);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(100);
    world.confirm(&starts);

    world.report_as("e0", BORN + 1, 0, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    world.advance(100);
    let hold = world.dispatcher.hold(&name("e0"), world.now);

    assert_eq!(hold.map(|hold| hold.seen), Some(1));
}

/// Guards against work on an endpoint whose resources a run of an earlier order still takes.
#[test]
fn an_unexpected_run_takes_resources() {
    let mut world = World::new(1);
    world.report("e0", &[("other.0.0.0", 1, 50.0)], &[]);
    world.submit("job", "batch", vec![step(1, 8, 1_000)]);

    let beside = world.advance(100);
    world.report("e0", &[], &[(1, "other.0.0.0", 1, Outcome::Stopped)]);
    let after = world.advance(500);

    assert_eq!(beside, []);
    assert_eq!(after.len(), 1);
}

/// Guards against a token that stays as it was because the endpoint vanished from the list before the raised one was
/// stored.
#[test]
fn an_endpoint_that_waits_for_a_token_is_not_dropped() {
    let mut world = World::new(1);
    let before = world.dispatcher.fence_of("e0");
    world.enter("e0", BORN + 1);
    world.dispatcher.update_endpoint(&name("e0"), None, world.now);
    world.now += 100;
    world.dispatcher.step(world.now, world.now);

    world.enter("e0", BORN + 1);
    world.advance(100);

    assert!(world.dispatcher.fence_of("e0") > before);
}

/// Guards against a token that stays as it was because the endpoint was listed again between its two incarnations.
#[test]
fn an_endpoint_that_is_listed_again_counts_as_contacted() {
    let mut world = World::new(1);
    let before = world.dispatcher.fence_of("e0");
    world.dispatcher.update_endpoint(&name("e0"), None, world.now);
    world.advance(100);
    world.enter("e0", BORN);

    world.enter("e0", BORN + 1);
    world.advance(100);

    assert!(world.dispatcher.fence_of("e0") > before);
}

/// Guards against a hold that makes a restarted endpoint forget unread ends, because the leader repeats an
/// acknowledgement without an answer before it knows of the restart.
#[test]
fn an_acknowledgement_without_an_answer_is_repeated_only_after_a_report() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(2, 1, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.advance(50);
    let ends = [(1, "job.0.0.0", 1, Outcome::Done)];
    world.report("e0", &[("job.0.0.1", 1, 50.0)], &ends);
    world.advance(50);
    let mut seen = Vec::new();
    let mut next_seen =
        |world: &mut World| seen.push(world.dispatcher.hold(&name("e0"), world.now).map(|hold| hold.seen));

    next_seen(&mut world);
    let lost = OrderError::Unknown("lost".to_owned());
    world.dispatcher.hold_failed(&name("e0"), &lost, world.now);
    next_seen(&mut world);
    world.report("e0", &[("job.0.0.1", 1, 60.0)], &ends);
    next_seen(&mut world);

    assert_eq!(seen, [Some(1), Some(0), Some(1)]);
}
