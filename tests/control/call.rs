//! Idempotent calls, and non-idempotent calls without competing instances.

use serde_json::{Value, json};
use standin::fake::{Fault, Side};
use yuccaridge::api::{ApiError, JobState, JobView};
use yuccaridge::call::CallError;
use yuccaridge::job::Outcome;
use yuccaridge::platform::{Presence, Step};
use yuccaridge::time::Millis;

use crate::world::{World, job};

pub fn query(idempotent: bool, payload: &Value) -> Value {
    let change = json!({"idempotent": idempotent, "deadline_s": 20, "payload": payload});
    job("query", "call", &change)
}

pub fn answer(view: &JobView) -> &Value {
    match &view.outcome {
        Some(Outcome::Completed { answer }) => answer,
        other => panic!("{other:?}"),
    }
}

/// Guards against table requests for an idempotent call, and against an answer that lacks parts.
#[test]
fn an_idempotent_call_uses_no_table_and_returns_its_whole_answer() {
    let (world, [a]) = World::ready(["a"]);
    let before = world.platform.table.usage();

    let view = a.call("j", &query(true, &json!({"answer": "x", "parts": 3}))).unwrap();

    assert_eq!(answer(&view), &json!(["x", "x", "x"]));
    assert_eq!(view.state, JobState::Ended);
    assert_eq!(world.platform.table.usage(), before);
}

/// Guards against idempotent calls that fail because the table is down.
#[test]
fn an_idempotent_call_works_without_the_table() {
    let (world, [a]) = World::ready(["a"]);
    a.link.set_hook(|point| match point.endpoint {
        Some(_) => Fault::None,
        None => Fault::Cut,
    });
    world.run(&[&a], 10_000);

    let view = a.call("j", &query(true, &json!({"answer": 1}))).unwrap();
    let refused = ApiError::from(a.call("k", &query(false, &json!({}))).unwrap_err());

    assert_eq!(answer(&view), &json!(1));
    assert!(refused.not_run && refused.repeat);
    assert_eq!(world.starts("k"), 0);
}

/// Guards against an idempotent call that fails on one lost answer, and against a retry on the same endpoint.
#[test]
fn an_idempotent_call_is_repeated_on_another_endpoint() {
    for side in [Side::Before, Side::After] {
        let (world, [a]) = World::ready(["a"]);
        a.cut_at(Step::Send, side, 1);

        let view = a.call("j", &query(true, &json!({"answer": 1}))).unwrap();

        assert_eq!(answer(&view), &json!(1));
        let record = world.platform.record();
        let endpoints: std::collections::BTreeSet<_> = record.iter().map(|entry| &entry.endpoint).collect();
        assert_eq!(endpoints.len(), if side == Side::After { 2 } else { 1 });
    }
}

/// Guards against "not run" after a lost answer, and against "unknown" when nothing was sent.
#[test]
fn a_failed_idempotent_call_is_unknown_only_if_it_was_sent() {
    let (world, [a]) = World::ready(["a"]);
    a.cut_at(Step::Send, Side::After, 9);
    let lost = a.call("j", &query(true, &json!({}))).unwrap();
    a.cut_at(Step::Send, Side::Before, 9);
    let unsent = a.call("k", &query(true, &json!({}))).unwrap_err();

    assert!(matches!(lost.outcome, Some(Outcome::Unknown { .. })));
    assert_eq!(unsent, CallError::Busy);
    assert!(ApiError::from(unsent).not_run);
    assert_eq!(world.starts("k"), 0);
}

/// Guards against returning the answer of an earlier request with the same id, which an endpoint may have kept.
#[test]
fn a_repeated_id_of_an_idempotent_call_gets_its_own_answer() {
    let (_world, [a]) = World::ready(["a"]);
    for n in 0..10 {
        let view = a.call("j", &query(true, &json!({"answer": n}))).unwrap();
        assert_eq!(answer(&view), &json!(n));
    }
}

/// Guards against calls to endpoints that are leaving.
#[test]
fn a_leaving_endpoint_gets_no_calls() {
    let (world, [a]) = World::ready(["a"]);
    world.endpoint("w1", |endpoint, _| endpoint.listed_mut().presence = Presence::Leaving);
    world.platform.clock.advance(Millis(1000));
    // The router is not updated, so the call itself must check the list.
    a.membership.step(world.now()).unwrap();

    for n in 0..20 {
        a.call(&format!("j{n}"), &query(n % 2 == 0, &json!({}))).unwrap();
    }

    let record = world.platform.record();
    assert!(record.iter().all(|entry| entry.endpoint.as_str() == "w2"));
}

/// Guards against more than two commits, a start before the row is written, and an open row that stays.
#[test]
fn a_non_idempotent_call_is_written_before_it_is_sent() {
    let (world, [a]) = World::ready(["a"]);
    let before = world.platform.table.usage().commits;
    let platform = std::sync::Arc::clone(&world.platform);
    a.link.set_hook(move |point| {
        if point.step == Step::Send && point.side == Side::Before {
            let world = World {
                platform: std::sync::Arc::clone(&platform),
            };
            assert_eq!(world.row("job/j").unwrap().value["phase"], "sent");
            assert!(world.row("open/a/j").is_some());
        }
        Fault::None
    });

    let view = a.call("j", &query(false, &json!({"answer": 1}))).unwrap();
    let commits = world.platform.table.usage().commits - before;
    let again = a.call("j", &query(false, &json!({"answer": 1}))).unwrap();
    let conflict = a.call("j", &query(false, &json!({"answer": 2}))).unwrap_err();

    assert_eq!((answer(&view), commits), (&json!(1), 2));
    assert_eq!(again.outcome, view.outcome);
    assert_eq!(ApiError::from(conflict).code, yuccaridge::api::Code::JobConflict);
    assert_eq!(world.starts("j"), 1);
    assert!(world.row("open/a/j").is_none());
}

/// Guards against a large answer in a row, and against its loss while the object store is down.
#[test]
fn a_large_answer_survives_an_outage_of_the_object_store() {
    let (world, [a]) = World::ready(["a"]);
    let large = "x".repeat(20_000);
    let body = query(false, &json!({"answer": large}));
    let stored = a.call("j", &body).unwrap();
    a.cut_at(Step::Object, Side::Before, 100_000);
    let unstored = a.call("k", &body).unwrap();
    let phase = world.row("job/k").unwrap().value["phase"].clone();
    a.clear_faults();
    world.run(&[&a], 1000);

    assert_eq!(answer(&stored), &json!(large));
    assert_eq!((answer(&unstored), phase), (&json!(large), json!("sent")));
    for id in ["j", "k"] {
        let row = world.row(&format!("job/{id}")).unwrap().value;
        assert!(row["outcome"]["answer"].is_null() && row["stored"].is_string(), "{id}");
        assert_eq!(answer(&a.call(id, &body).unwrap()), &json!(large));
        assert_eq!(world.starts(id), 1);
    }
}

/// Guards against two threads of one process that execute the same call.
#[test]
fn a_call_is_executed_once_in_a_process() {
    let (world, [a]) = World::ready(["a"]);
    let body = query(false, &json!({"answer": 1}));
    let mut first = a.begin("j", &body).unwrap();
    let mut second = a.begin("j", &body).unwrap();

    a.calls.step(a.now(), &mut first).unwrap();
    for _ in 0..10 {
        let progress = a.calls.step(a.now(), &mut second).unwrap();
        assert!(matches!(progress, yuccaridge::call::Progress::Wait(_)));
    }
    a.finish(&mut first, &[&a]).unwrap();
    drop(first);

    assert_eq!(answer(&a.finish(&mut second, &[&a]).unwrap()), &json!(1));
    assert_eq!(world.starts("j"), 1);
}

/// Guards against a recovery of abandoned calls that ends one which is being sent.
#[test]
fn a_call_in_flight_is_not_recovered_as_abandoned() {
    let (world, [a]) = World::ready(["a"]);
    let node = std::sync::Arc::clone(&a);
    a.run_during(Step::Send, Side::Before, move || node.step());

    let view = a.call("j", &query(false, &json!({"answer": 1}))).unwrap();

    assert_eq!((answer(&view), view.attempt), (&json!(1), 1));
    assert_eq!(world.row("job/j").unwrap().value["attempt"], 1);
}

/// Guards against "unknown" for a call that reached no endpoint.
#[test]
fn a_call_that_no_endpoint_accepted_was_not_run() {
    let (world, [a]) = World::ready(["a"]);
    a.call("warm", &query(false, &json!({}))).unwrap();
    a.link.set_hook(|point| match point.endpoint {
        Some(_) => Fault::Cut,
        None => Fault::None,
    });
    let mut written = 0;
    for n in 0..20 {
        world.run(&[&a], 15_000);
        match a.call(&format!("j{n}"), &query(false, &json!({}))) {
            Ok(view) => {
                assert!(matches!(view.outcome, Some(Outcome::NotRun { .. })), "{view:?}");
                written += 1;
            }
            Err(error) => assert_eq!(error, CallError::Busy),
        }
    }

    assert!(written > 0);
}
