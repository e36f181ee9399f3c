//! Batch jobs: accept, cancel and lookup.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};
use standin::fake::{Fault, Side};
use yuccaridge::accept::{AcceptError, choose_pool};
use yuccaridge::api::{ApiError, Code, JobState, JobView};
use yuccaridge::job::{JobRow, JobSpec, Outcome, Phase, Seat};
use yuccaridge::name::{EndpointName, PoolName};
use yuccaridge::platform::{Objects, OpId, Put, Step, Table, Txn};
use yuccaridge::team::Catalog;
use yuccaridge::ticket::Ticket;

use crate::world::{Node, World, bytes, first_ticket, job, job_id};

fn batch(change: &Value) -> Vec<u8> {
    bytes(&job("check", "batch", change))
}

fn submit(node: &Node, id: &str, body: &[u8]) -> Result<JobView, AcceptError> {
    node.accept.submit(node.now(), &job_id(id), body, None)
}

fn code(error: AcceptError) -> Code {
    ApiError::from(error).code
}

/// Writes a job's row with another phase, as its planner would.
fn set_phase(world: &World, id: &str, phase: Phase) {
    let stored = world.row(&format!("job/{id}")).unwrap();
    let mut row: JobRow = serde_json::from_value(stored.value).unwrap();
    row.phase = phase;
    let mut puts = Vec::new();
    if let Some((object, content)) = row.detach_answer() {
        world.platform.objects.put(&object, &content).unwrap();
    }
    puts.push(Put {
        key: stored.key,
        value: Some(json!(row)),
    });
    let op = OpId("planner".to_owned());
    let step = Step::Place;
    let checks = Vec::new();
    world.platform.table.commit(&Txn { step, op, checks, puts }).unwrap();
}

/// Guards against more than one commit for an accept, and against a wrong answer to a repeat or a conflict.
#[test]
fn a_repeated_submit_returns_the_job_and_another_body_conflicts() {
    let (world, [a, b]) = World::ready(["a", "b"]);
    let before = world.platform.table.usage().commits;

    let first = submit(&a, "j", &batch(&json!({}))).unwrap();
    let commits = world.platform.table.usage().commits - before;
    let again = submit(&b, "j", &batch(&json!({}))).unwrap();
    let other = submit(&b, "j", &batch(&json!({"payload": 1}))).unwrap_err();

    assert_eq!((first.state, commits), (JobState::Queued, 1));
    assert_eq!(first, again);
    assert_eq!(code(other), Code::JobConflict);
    assert!(world.row("queue/west/j").is_some());
}

/// Guards against two jobs for one id when two instances accept it concurrently, also if the answer to the second one
/// is lost and it reads back the row of the first.
#[test]
fn two_instances_that_race_accept_one_job() {
    let other_bodies = [(json!({}), None), (json!({"payload": 1}), Some(Code::JobConflict))];
    for ((other_body, expected), lost) in other_bodies.iter().flat_map(|case| [(case, false), (case, true)]) {
        let (_world, [a, b]) = World::ready(["a", "b"]);
        let other = batch(other_body);
        a.link.set_hook(move |point| {
            if point.step == Step::Accept && point.side == Side::Before {
                submit(&b, "j", &other).unwrap();
            }
            let cut = lost && point.step == Step::Accept && point.side == Side::After;
            if cut { Fault::Cut } else { Fault::None }
        });

        let result = submit(&a, "j", &batch(&json!({})));

        assert_eq!(result.err().map(code), *expected);
    }
}

/// Guards against two rows or a wrong answer when a transaction arrives after its sender gave up or retried.
#[test]
fn a_delayed_accept_does_not_change_the_reported_result() {
    let (world, [a]) = World::ready(["a"]);
    a.inject(&[(Step::Accept, Side::Before, Fault::Delay)]);
    let accepted = submit(&a, "j", &batch(&json!({}))).unwrap();
    let version = world.row("job/j").unwrap().version;
    a.link.deliver();
    a.inject(&[(Step::Accept, Side::Before, Fault::Delay); 4]);
    let uncertain = submit(&a, "k", &batch(&json!({}))).unwrap_err();
    let before = world.row("job/k").is_some();
    a.link.deliver();

    assert_eq!(accepted.state, JobState::Queued);
    assert_eq!(world.row("job/j").unwrap().version, version);
    assert_eq!(uncertain, AcceptError::Unknown(job_id("k")));
    assert!(!before && world.row("job/k").is_some());
}

/// Guards against "accepted" without a row and "not run" with one when answers are lost or the table is down.
#[test]
fn an_accept_is_reported_as_it_is_in_the_table() {
    let body = batch(&json!({}));
    for side in [Side::Before, Side::After] {
        let (world, [a]) = World::ready(["a"]);
        a.cut_at(Step::Accept, side, 1);
        let result = submit(&a, "j", &body);
        assert_eq!(result.is_ok(), world.row("job/j").is_some());
        assert_eq!(result.is_ok(), side == Side::After);
    }
    let (world, [a, b]) = World::ready(["a", "b"]);

    a.cut_from(Step::Accept, Side::After, u64::MAX);
    let lost = submit(&a, "j", &body).unwrap_err();
    a.cut();
    let down = ApiError::from(submit(&a, "k", &body).unwrap_err());
    let repeated = submit(&b, "j", &body).unwrap();

    assert_eq!(lost, AcceptError::Unknown(job_id("j")));
    assert!(!ApiError::from(lost).not_run);
    assert_eq!((down.code, down.not_run), (Code::Unavailable, true));
    assert_eq!(repeated.state, JobState::Queued);
    assert!(world.row("job/k").is_none());
}

/// Guards against a job that is accepted under an old configuration, by an instance that was frozen during the request
/// while a ticket changed the configuration.
#[test]
fn a_frozen_accept_fails_if_the_configuration_changed() {
    let (world, [a, b]) = World::ready(["a", "b"]);
    a.run_during(Step::Accept, Side::Before, move || {
        let removal = json!({"objects": {"team": {"photos": null}}});
        b.tickets.put(b.now(), 2, &bytes(&removal)).unwrap();
    });

    let error = submit(&a, "j", &batch(&json!({}))).unwrap_err();

    assert_eq!(code(error), Code::NotAllowed);
    assert!(world.row("job/j").is_none());
}

/// Guards against jobs accepted without a session, and against refusals by a draining instance while the load balancer
/// still sends requests to it.
#[test]
fn a_draining_instance_accepts_until_its_session_ends() {
    let (world, [a]) = World::ready(["a"]);
    a.session.set_draining();
    world.run(&[&a], 1000);
    let draining = submit(&a, "j", &batch(&json!({}))).unwrap();
    a.session.leave(a.now()).unwrap();
    let left = submit(&a, "k", &batch(&json!({}))).unwrap_err();
    let fresh = submit(&world.node("b", "1"), "k", &batch(&json!({}))).unwrap_err();

    assert_eq!(draining.state, JobState::Queued);
    assert!(world.row("job/j").is_some() && world.row("job/k").is_none());
    assert_eq!((&left, &fresh), (&AcceptError::NoSession, &AcceptError::NoSession));
    assert!(ApiError::from(left).not_run);
}

/// Guards against jobs that are not allowed, malformed, or larger than any endpoint set.
#[test]
fn invalid_jobs_are_rejected() {
    let (_world, [a]) = World::ready(["a"]);
    let cases = [
        (json!({"team": "none"}), Code::NotAllowed),
        (json!({"kind": "none"}), Code::NotAllowed),
        (json!({"kind": "query"}), Code::NotAllowed),
        (json!({"kind": "query", "class": "call"}), Code::NotAllowed),
        (json!({"pool": "none"}), Code::NotAllowed),
        (json!({"color": 1}), Code::BadRequest),
        (json!({"shape": {"members": 0}}), Code::BadRequest),
        (json!({"run_time_s": u64::MAX}), Code::BadRequest),
        (json!({"shape": {"members": 9, "accelerators": 8}}), Code::NotAllowed),
        (json!({"shape": {"accelerators": 9}}), Code::Impossible),
        (json!({"shape": {"members": 3, "accelerators": 8}}), Code::Impossible),
        (
            json!({"shape": {"members": 2, "accelerators": 8, "adjacent": "worker"}}),
            Code::Impossible,
        ),
    ];

    for (change, expected) in cases {
        let error = submit(&a, "j", &batch(&change)).unwrap_err();
        assert_eq!(code(error), expected, "{change}");
    }
    let fits = json!({"shape": {"members": 2, "accelerators": 8, "adjacent": "rack"}});
    assert!(submit(&a, "j", &batch(&fits)).is_ok());
}

/// Guards against a pool choice that ignores the requested pool, the guarantees or the queue lengths.
#[test]
fn a_pool_is_chosen_by_request_then_guarantee_then_queue_then_hash() {
    let mut ticket = first_ticket();
    for n in 1..4 {
        ticket["objects"]["pool"][format!("p{n}")] = json!({"domains": [format!("e{n}")]});
    }
    let ticket: Ticket = serde_json::from_value(ticket).unwrap();
    let catalog = ticket.apply(&Catalog::default(), 1).unwrap();
    let waiting = [("west", 9), ("p1", 5), ("p2", 3)].map(|(name, jobs)| (PoolName::new(name).unwrap(), jobs));
    let choose = |change: &Value, waiting: &[(PoolName, usize)]| {
        let spec: JobSpec = serde_json::from_value(job("check", "batch", change)).unwrap();
        let team = &catalog.teams[&spec.team];
        let waiting = waiting.iter().cloned().collect();
        choose_pool(&catalog, team, &job_id("j"), &spec, &BTreeMap::new(), &waiting)
            .unwrap()
            .to_string()
    };

    assert_eq!(
        choose(&json!({"pool": "p3", "shape": {"accelerators": 8}}), &waiting),
        "p3"
    );
    assert_eq!(choose(&json!({"shape": {"accelerators": 8}}), &waiting), "west");
    assert_eq!(choose(&json!({}), &waiting), "p2");
    assert_eq!(choose(&json!({}), &[]), choose(&json!({}), &[]));
}

/// Guards against a queued job that is cancelled in more than one commit or stays in the queue.
#[test]
fn a_queued_job_is_cancelled_in_one_commit() {
    for side in [None, Some(Side::Before), Some(Side::After)] {
        let (world, [a]) = World::ready(["a"]);
        submit(&a, "j", &batch(&json!({}))).unwrap();
        if let Some(side) = side {
            a.cut_at(Step::Cancel, side, 1);
        }

        let result = a.accept.cancel(a.now(), &job_id("j"));
        let known = a.accept.job(&job_id("j")).unwrap();

        let outcome = Some(Outcome::Cancelled { ran: false });
        assert_eq!(known.outcome == outcome, side != Some(Side::Before));
        assert_eq!(world.row("queue/west/j").is_none(), side != Some(Side::Before));
        assert_eq!(
            result.is_ok_and(|view| view.outcome == outcome),
            side != Some(Side::Before)
        );
    }
}

/// Guards against a running job that is reported as cancelled, a cancellation flag that its planner does not see, and a
/// conflict with the planner that loses the cancel.
#[test]
fn a_cancel_marks_a_running_job_and_returns_an_ended_one() {
    let (world, [a]) = World::ready(["a"]);
    let id = job_id("j");
    submit(&a, "j", &batch(&json!({}))).unwrap();
    let seats = vec![Seat {
        endpoint: EndpointName::new("w1").unwrap(),
        accelerators: vec![0],
    }];
    let platform = Arc::clone(&world.platform);
    // The planner places the job while the cancel of the queued job is in flight.
    a.run_during(Step::Cancel, Side::Before, move || {
        let guaranteed = false;
        let seats = seats.clone();
        let world = World {
            platform: Arc::clone(&platform),
        };
        set_phase(&world, "j", Phase::Running { seats, guaranteed });
    });

    let view = a.accept.cancel(a.now(), &id).unwrap();
    let queue_entry_version = world.row("queue/west/j").unwrap().version;
    let row = world.row("job/j").unwrap();
    let outcome = Outcome::Completed {
        answer: json!("x".repeat(20_000)),
    };
    set_phase(
        &world,
        "j",
        Phase::Ended {
            outcome: outcome.clone(),
        },
    );
    let ended = a.accept.cancel(a.now(), &id).unwrap();
    let absent = a.accept.cancel(a.now(), &job_id("none")).unwrap_err();

    assert_eq!((view.state, view.endpoints.len()), (JobState::Cancelling, 1));
    assert_eq!(
        (row.version, row.value["cancel"].clone()),
        (queue_entry_version, json!(true))
    );
    assert_eq!((ended.state, ended.outcome), (JobState::Ended, Some(outcome)));
    assert_eq!(code(absent), Code::NotFound);
}
