//! Non-idempotent calls under faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use standin::endpoint::Endpoint;
use standin::fake::{Fault, Side};
use yuccaridge::api::{ApiError, JobState, JobView};
use yuccaridge::call::CallError;
use yuccaridge::job::Outcome;
use yuccaridge::name::EndpointName;
use yuccaridge::platform::{Step, Table};
use yuccaridge::time::Millis;

use crate::call::{answer, query};
use crate::world::{Node, World, cut_first};

fn body() -> Value {
    query(false, &json!({"answer": 1}))
}

/// Checks the outcome that a caller got against the starts at the endpoints.
fn check_reported_outcome(world: &World, reported: &Result<JobView, CallError>, context: &str) {
    let starts = world.starts("j");
    assert!(starts <= 1, "{context}: started {starts} times");
    match reported {
        Ok(view) => match view.outcome.as_ref().unwrap() {
            Outcome::Completed { .. } => assert_eq!(starts, 1, "{context}: completed without a start"),
            Outcome::NotRun { .. } => assert_eq!(starts, 0, "{context}: started, but reported as not run"),
            Outcome::Unknown { .. } => {}
            other => panic!("{context}: {other:?}"),
        },
        Err(error) => assert!(
            starts == 0 || !ApiError::from(error.clone()).not_run,
            "{context}: {error}"
        ),
    }
}

/// Delivers delayed requests, and checks the final row against the outcome that the caller got.
fn check_stored_outcome(world: &World, node: &Node, reported: &Result<JobView, CallError>, context: &str) {
    node.clear_faults();
    node.link.deliver();
    world.run(&[node], 6000);
    let Some(row) = world.row("job/j") else {
        assert!(reported.is_err(), "{context}: {reported:?} without a row");
        return;
    };
    assert_eq!(row.value["phase"], "ended", "{context}");
    for sender in ["a", "b"] {
        assert!(
            world.row(&format!("open/{sender}/j")).is_none(),
            "{context}: open row of {sender}"
        );
    }
    if let Ok(view) = reported
        && let Some(outcome) = view.outcome.as_ref().filter(|outcome| outcome.is_final())
    {
        let known = node.call("j", &body()).unwrap();
        assert_eq!(known.outcome.as_ref(), Some(outcome), "{context}");
    }
}

const STEPS: [Step; 7] = [
    Step::Read,
    Step::Open,
    Step::Send,
    Step::Refuse,
    Step::Report,
    Step::Close,
    Step::Object,
];

const FAULTS: [(Side, Fault); 4] = [
    (Side::Before, Fault::Cut),
    (Side::Before, Fault::Delay),
    (Side::Before, Fault::Repeat),
    (Side::After, Fault::Cut),
];

/// Guards against a second run and a wrong outcome when requests of one step are lost repeatedly.
#[test]
fn lost_requests_of_one_step_give_a_correct_outcome() {
    for step in STEPS {
        for (side, fault) in FAULTS {
            for times in [1, 2, 3, 1000] {
                let (world, [a]) = World::ready(["a"]);
                let left = AtomicU64::new(times);
                a.link.set_hook(move |point| match cut_first(point, step, side, &left) {
                    Fault::None => Fault::None,
                    _ => fault,
                });
                let context = format!("{step:?} {side:?} {fault:?} {times}");

                let reported = a.call("j", &body());

                check_reported_outcome(&world, &reported, &context);
                check_stored_outcome(&world, &a, &reported, &context);
            }
        }
    }
}

/// Guards against a second run and a wrong outcome when one request of each of two steps is lost.
#[test]
fn two_lost_requests_give_a_correct_outcome() {
    for (first, second) in STEPS.iter().flat_map(|step| STEPS.map(|other| (*step, other))) {
        for (one, other) in FAULTS.iter().flat_map(|fault| FAULTS.map(|other| (*fault, other))) {
            let (world, [a]) = World::ready(["a"]);
            a.inject(&[(first, one.0, one.1), (second, other.0, other.1)]);
            let context = format!("{first:?} {one:?}, {second:?} {other:?}");

            let reported = a.call("j", &body());

            check_reported_outcome(&world, &reported, &context);
            check_stored_outcome(&world, &a, &reported, &context);
        }
    }
}

/// Guards against a second run and a wrong outcome when a delayed request arrives during a later one.
#[test]
fn a_delayed_request_gives_a_correct_outcome() {
    for (delayed, later) in STEPS.iter().flat_map(|step| STEPS.map(|other| (*step, other))) {
        for side in [Side::Before, Side::After] {
            let (world, [a]) = World::ready(["a"]);
            let link = Arc::clone(&a.link);
            let left = AtomicU64::new(1);
            a.link.set_hook(move |point| {
                if cut_first(point, delayed, Side::Before, &left) != Fault::None {
                    return Fault::Delay;
                }
                if (point.step, point.side) == (later, side) {
                    link.deliver();
                }
                Fault::None
            });
            let context = format!("{delayed:?} arrives {side:?} {later:?}");

            let reported = a.call("j", &body());

            check_reported_outcome(&world, &reported, &context);
            check_stored_outcome(&world, &a, &reported, &context);
        }
    }
}

/// Guards against "not run" that is reported before it is written: another instance may start the call meanwhile.
#[test]
fn not_run_is_reported_only_after_it_is_written() {
    let (world, [a]) = World::ready(["a"]);
    a.link.set_hook(|point| match (point.step, point.side) {
        (Step::Send | Step::Close, Side::Before) => Fault::Cut,
        _ => Fault::None,
    });

    let reported = a.call("j", &body()).unwrap();

    assert!(matches!(reported.outcome, Some(Outcome::Unknown { .. })));
    assert_eq!(world.starts("j"), 0);
}

/// Guards against a call that stays open, runs twice or has a wrong outcome when its instance dies after any request
/// and the caller repeats the call at another instance.
#[test]
fn a_repeated_id_is_resolved_by_another_instance() {
    for requests in 0..10 {
        for wait in [0, 6000] {
            let (world, [a, b]) = World::ready(["a", "b"]);
            a.cut_after(requests);
            let mut call = a.begin("j", &body()).unwrap();
            while a.calls.step(a.now(), &mut call) == Ok(yuccaridge::call::Progress::Again) {}
            world.run(&[&b], wait);
            let context = format!("dead after {requests}, repeated after {wait}");

            let mut repeat = b.begin("j", &body()).unwrap();
            let reported = b.finish(&mut repeat, &[&b]);

            check_reported_outcome(&world, &reported, &context);
            assert!(reported.unwrap().outcome.unwrap().is_final(), "{context}");
        }
    }
}

/// Guards against calls that stay open when the caller does not repeat them.
#[test]
fn abandoned_calls_are_resolved_without_a_repeat() {
    for requests in 0..10 {
        let (world, [a, b]) = World::ready(["a", "b"]);
        a.cut_after(requests);
        let mut call = a.begin("j", &body()).unwrap();
        while a.calls.step(a.now(), &mut call) == Ok(yuccaridge::call::Progress::Again) {}
        world.run(&[&b], 8000);

        let starts = world.starts("j");
        assert!(world.row("open/a/j").is_none());
        let Some(row) = world.row("job/j") else { continue };
        let expected = if starts == 1 { "completed" } else { "not_run" };
        assert_eq!(row.value["outcome"]["outcome"], expected, "dead after {requests}");
    }
}

/// Runs `other` until the sessions of all silent instances have lapsed; it then executes the call or ends it.
fn take_over(other: &Node, repeat: bool) -> Outcome {
    for _ in 0..60 {
        let _ = other.session.step(other.now());
        let _ = other.membership.step(other.now());
        other.platform.clock.advance(Millis(100));
    }
    if !repeat {
        other.step();
    }
    other.call("j", &body()).unwrap().outcome.unwrap()
}

/// Guards against a second run when an instance is frozen right before it sends a call that another instance ends or
/// executes meanwhile, also if the endpoints restart and forget their refusals.
#[test]
fn a_frozen_sender_cannot_start_a_call_that_was_taken_over() {
    for (repeat, restart) in [(false, false), (false, true), (true, false), (true, true)] {
        let (world, [a, b]) = World::ready(["a", "b"]);
        let platform = Arc::clone(&world.platform);
        let known = Arc::new(Mutex::new(None));
        let other = Arc::clone(&known);
        a.run_during(Step::Send, Side::Before, move || {
            *other.lock().unwrap() = Some(take_over(&b, repeat));
            let markers = platform.table.scan("open/", None, 9).unwrap();
            assert_eq!(markers.rows, []);
            for name in ["w1", "w2"] {
                if restart {
                    let name = EndpointName::new(name).unwrap();
                    platform.with_endpoint(&name, Endpoint::restart);
                }
            }
        });

        let reported = a.call("j", &body());

        let context = format!("repeat {repeat}, restart {restart}");
        check_reported_outcome(&world, &reported, &context);
        assert_eq!(reported.unwrap().outcome, *known.lock().unwrap(), "{context}");
        assert_eq!(world.starts("j"), usize::from(repeat), "{context}");
    }
}

/// Guards against a refusal that counts as proof although the endpoint restarted and forgot that it ran the call.
#[test]
fn a_refusal_by_a_restarted_endpoint_is_no_proof() {
    let (world, [a]) = World::ready(["a"]);
    let platform = Arc::clone(&world.platform);
    let left = AtomicU64::new(1);
    a.link.set_hook(move |point| {
        if point.step != Step::Send || point.side != Side::After || left.swap(0, Ordering::Relaxed) == 0 {
            return Fault::None;
        }
        platform.with_endpoint(point.endpoint.as_ref().unwrap(), Endpoint::restart);
        Fault::Cut
    });

    let view = a.call("j", &body()).unwrap();

    assert!(matches!(view.outcome, Some(Outcome::Unknown { .. })));
    assert_eq!(world.starts("j"), 1);
    let again = a.call("j", &body()).unwrap();
    assert!(matches!(again.outcome, Some(Outcome::Unknown { .. })));
    assert_eq!(world.starts("j"), 1);
}

/// Guards against "not run" or a second run while the endpoint still runs the call, and against a lost outcome when it
/// ends.
#[test]
fn a_call_that_runs_past_its_deadline_is_unknown_until_it_ends() {
    let (world, [a]) = World::ready(["a"]);
    let slow = query(false, &json!({"answer": 1, "work_ms": 30_000}));
    a.cut_at(Step::Send, Side::After, 1);

    let early = a.call("j", &slow).unwrap();
    world.run(&[&a], 15_000);
    let late = a.call("j", &slow).unwrap();

    assert_eq!(early.state, JobState::Running);
    assert!(matches!(early.outcome, Some(Outcome::Unknown { .. })));
    assert_eq!((answer(&late), world.starts("j")), (&json!(1), 1));
}

/// Guards against a second run when two instances execute the same id concurrently.
#[test]
fn two_instances_that_race_run_a_call_once() {
    for side in [Side::Before, Side::After] {
        let (world, [a, b]) = World::ready(["a", "b"]);
        let other = Arc::clone(&b);
        a.run_during(Step::Open, side, move || {
            let mut call = other.begin("j", &body()).unwrap();
            while other.calls.step(other.now(), &mut call) == Ok(yuccaridge::call::Progress::Again) {}
        });

        let reported = a.call("j", &body());

        check_reported_outcome(&world, &reported, "race");
        assert_eq!(answer(&reported.unwrap()), &json!(1));
        assert_eq!(answer(&b.call("j", &body()).unwrap()), &json!(1));
        assert_eq!(world.starts("j"), 1);
    }
}
