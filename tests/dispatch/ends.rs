//! Ends of runs that are reported late, in pages, or after the answer to a start.

use std::sync::Arc;

use yuccaridge::graph::Phase;
use yuccaridge::port::{OrderError, Outcome, Refusal};

use crate::world::{BORN, World, gang, name, step};

fn lost() -> OrderError {
    OrderError::Unknown("lost".to_owned())
}

fn old() -> OrderError {
    OrderError::Refused {
        refusal: Refusal::Old,
        clock_ms: None,
    }
}

/// Guards against a second start of a task that has ended as done: the answer to its start was lost, and the refusal of
/// the repeated start arrives before the report with the end.
#[test]
fn a_refusal_as_old_does_not_prove_that_a_run_failed() {
    let mut world = World::new(2);
    world.submit("job", "batch", vec![gang(2, 1, 1_000)]);
    let starts = world.advance(50);
    for start in &starts {
        world.dispatcher.started(start, Err(lost()), world.now);
    }
    let repeated = world.advance(100);
    assert_eq!(repeated.len(), 2);

    for start in &repeated {
        world.dispatcher.started(start, Err(old()), world.now);
    }
    let again = world.advance(200);
    let endpoint = Arc::clone(&starts[0].endpoint);
    let ends = [(1, "job.0.0.0", 1, Outcome::Done), (2, "job.0.0.1", 1, Outcome::Done)];
    world.report(&endpoint, &[], &ends);
    world.advance(50);

    assert_eq!(again, [], "started again before the end was read");
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a unit that waits forever for a run that its endpoint refuses and does not know.
#[test]
fn a_run_refused_as_old_is_gone_once_a_later_report_lists_neither_run_nor_end() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(50);
    world.dispatcher.started(&starts[0], Err(lost()), world.now);
    let repeated = world.advance(100);
    world.dispatcher.started(&repeated[0], Err(old()), world.now);

    world.advance(50);
    world.report("e0", &[], &[]);
    let again = world.advance(300);

    assert_eq!(again.iter().map(|start| start.run).collect::<Vec<_>>(), [2]);
}

/// Guards against a second start of a task whose end stands on the next page of a report.
#[test]
fn a_run_missing_from_a_report_with_further_ends_is_not_given_up() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.advance(50);

    world.report_page("e0", &[(1, "gone.0.0.0", 1, Outcome::Done)]);
    let again = world.advance(200);
    world.report("e0", &[], &[(2, "job.0.0.0", 1, Outcome::Done)]);
    world.advance(50);

    assert_eq!(again, [], "started again before its end was read");
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a second start beside a run whose lease is longer than assumed, because the last reading of a slow
/// clock is old.
#[test]
fn the_lease_of_a_start_lasts_longer_on_a_slow_clock_that_was_read_long_ago() {
    let mut world = World::new(2);
    world.advance(100_000);
    world.submit("job", "batch", vec![step(1, 1, 1_000)]);
    let starts = world.advance(50);
    let sent_at = world.now;
    let lease_end = world.dispatcher.lease_start(&starts[0], sent_at);
    world.dispatcher.update_endpoint(&starts[0].endpoint, None, world.now);

    // The clock of the endpoint has lost 2 % since its last report.
    let slow_now = world.now - (sent_at - crate::world::T0) / 50;
    let lease_ms = lease_end.expect("the clock is known") - slow_now;
    let again = world.advance(lease_ms);

    assert!(again.iter().all(|start| start.run == 1), "{again:?}");
}

/// Guards against the loss of a successful end that arrives after its run was taken for gone: the work is done, and
/// acknowledging the end would let the task run again.
#[test]
fn a_late_end_as_done_of_the_last_run_completes_the_unit() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.dispatcher.update_endpoint(&name("e0"), None, world.now);
    world.advance(20_000);

    let entry = crate::world::entry("10.0.0.0:1", "r0");
    world.dispatcher.update_endpoint(&name("e0"), Some(entry), world.now);
    world.report("e0", &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    let again = world.advance(100);

    assert_eq!(again, []);
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a job that is shown as failed after it was shown as done: a newer run of it fails while it is being
/// stopped.
#[test]
fn a_failed_run_of_a_unit_that_is_done_fails_no_job() {
    let mut world = World::new(2);
    world.allow_attempts(1);
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let given_up = Arc::clone(&starts[0].endpoint);
    world.dispatcher.update_endpoint(&given_up, None, world.now);
    let newer = world.advance_to_start();
    world.confirm(&newer);
    world.enter(&given_up, BORN);

    world.report(&given_up, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    world.report(&newer[0].endpoint, &[], &[(1, "job.0.0.0", 2, Outcome::Failed)]);
    world.advance(50);

    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a cancelled job that is shown as failed.
#[test]
fn a_failed_run_of_a_cancelled_job_leaves_it_cancelled() {
    let mut world = World::new(1);
    world.allow_attempts(1);
    world.submit("job", "batch", vec![step(1, 1, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.dispatcher.cancel("job", world.now);
    world.advance(50);

    world.report("e0", &[], &[(1, "job.0.0.0", 1, Outcome::Failed)]);
    world.advance(50);

    assert_eq!(world.job("job").phase, Phase::Cancelled);
}

/// Guards against a second run of a gang of which a member was refused as old although the whole gang has ended.
#[test]
fn a_gang_with_a_member_refused_as_old_may_have_ended() {
    let mut world = World::new(4);
    world.submit("job", "batch", vec![gang(2, 8, 1_000)]);
    let starts = world.advance(50);
    world.confirm(&starts[1..]);
    world.dispatcher.started(&starts[0], Err(lost()), world.now);
    let resent = world.advance(100);

    world.dispatcher.started(&resent[0], Err(old()), world.now);
    let again = world.advance(100);
    world.report(&starts[1].endpoint, &[], &[(1, "job.0.0.1", 1, Outcome::Done)]);
    world.report(&starts[0].endpoint, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    let later = world.advance(500);

    assert!(again.iter().chain(&later).all(|start| start.run == 1), "{again:?}");
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a second run of a task that ended while it was being stopped, with its end on a later page.
#[test]
fn a_stopped_run_missing_from_a_report_with_further_ends_may_have_ended() {
    let mut world = World::new(1);
    world.submit("job", "batch", vec![step(1, 8, 60_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.submit("urgent", "urgent", vec![step(1, 8, 100)]);
    world.advance(500);
    let stop = world.stops[0].clone();
    world.dispatcher.stopped(&stop, Ok(world.now), world.now);
    world.advance(100);

    world.report_page("e0", &[(1, "other.0.0.0", 1, Outcome::Stopped)]);
    let beside = world.advance(100);
    world.report("e0", &[], &[(2, "job.0.0.0", 1, Outcome::Done)]);
    world.advance(500);

    assert_eq!(beside, []);
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a start that is repeated after another member has shown that the whole gang has ended as done: a new
/// incarnation of the endpoint would run it again.
#[test]
fn a_start_is_not_repeated_once_its_gang_has_ended() {
    let mut world = World::new(4);
    world.submit("job", "batch", vec![gang(2, 8, 300), step(1, 1, 60_000)]);
    let starts = world.advance(50);
    let gang: Vec<_> = starts.iter().filter(|start| start.unit == 0).cloned().collect();
    world.confirm(&gang[..1]);

    world.report(&gang[0].endpoint, &[], &[(1, &*gang[0].task, 1, Outcome::Done)]);
    world.dispatcher.started(&gang[1], Err(lost()), world.now);
    let repeated = world.advance(1_500);

    assert!(repeated.iter().all(|start| start.unit != 0), "{repeated:?}");
    assert_eq!(world.dispatcher.lease_start(&gang[1], world.now), None);
}
