//! The planner of one pool: life cycle of a batch job, takeover, fencing, lost answers and lost endpoints.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::{PlannerHost, answer, gang, job, name, outcome, platform, submit, write_job};
use serde_json::json;
use standin::fake::{Fault, Side};
use standin::record::TaskEvent;
use yuccaridge::job::{Outcome, Phase};
use yuccaridge::planner::PlannerError;
use yuccaridge::platform::Step;
use yuccaridge::time::Millis;

const SECOND: Millis = Millis::from_secs(1);

/// Guards against more than four commits for a job: accept, place, run and end.
#[test]
fn batch_job_completes_in_four_commits() {
    let platform = platform(8);
    let mut host = PlannerHost::start(&platform, "i0");
    let before = platform.table.usage().commits;
    let id = submit(&platform, "j", gang(4, 2000));
    host.planner.reload_job(id.clone());

    host.run_for(Millis::from_secs(5)).expect("not fenced");

    assert_eq!(answer(&platform, &id), Some(json!(["done", "done", "done", "done"])));
    assert_eq!(platform.table.usage().commits - before, 4);
}

/// Guards against accelerators that stay allocated after the end of a job, and against endpoints that keep ended tasks.
#[test]
fn ended_job_frees_seats_and_endpoint_tasks() {
    let platform = platform(8);
    let mut host = PlannerHost::start(&platform, "i0");
    for round in 0..5 {
        let id = submit(&platform, &format!("j{round}"), gang(8, 500));
        host.planner.reload_job(id.clone());

        host.run_for(Millis::from_secs(3)).expect("not fenced");

        assert!(
            answer(&platform, &id).is_some(),
            "round {round}: {:?}",
            job(&platform, &id)
        );
    }
    for index in 0..8 {
        let report = platform.with_endpoint(&name(&format!("w{index}")), standin::endpoint::Endpoint::report);
        assert!(report.expect("the endpoint exists").tasks.is_empty());
    }
}

/// Guards against a takeover that loses, repeats or splits a running gang.
#[test]
fn successor_completes_a_running_job() {
    let platform = platform(8);
    let mut first = PlannerHost::start(&platform, "i0");
    let id = submit(&platform, "j", gang(4, 5000));
    first.planner.reload_job(id.clone());
    first.run_for(Millis::from_secs(2)).expect("not fenced");
    assert!(matches!(job(&platform, &id).phase, Phase::Running { .. }));

    let mut second = PlannerHost::start(&platform, "i1");
    second.run_for(Millis::from_secs(6)).expect("not fenced");

    assert!(answer(&platform, &id).is_some());
    assert_eq!(
        platform
            .record()
            .iter()
            .filter(|entry| entry.event == TaskEvent::Started)
            .count(),
        4
    );
    assert_eq!(
        first.step(),
        Ok(()),
        "the previous holder notices the takeover at its next commit or command"
    );
    submit(&platform, "k", gang(1, 100));
    assert_eq!(first.run_for(Millis::from_secs(12)), Err(PlannerError::Fenced));
}

/// Guards against a frozen planner that releases a gang whose attempt its successor has undone, at any start step.
#[test]
fn frozen_planner_cannot_start_an_undone_attempt() {
    for step in [Step::Place, Step::Prepare, Step::Run, Step::Release] {
        for side in [Side::Before, Side::After] {
            let platform = platform(4);
            let mut frozen = PlannerHost::start(&platform, "i0");
            let id = submit(&platform, "j", gang(2, 1000));
            frozen.planner.reload_job(id.clone());
            let once = AtomicBool::new(false);
            let shared = Arc::clone(&platform);
            frozen.link.set_hook(move |point| {
                if point.step == step && point.side == side && !once.swap(true, Ordering::Relaxed) {
                    let mut successor = PlannerHost::start(&shared, "i1");
                    successor
                        .run_for(Millis::from_secs(8))
                        .expect("the successor holds the pool");
                }
                Fault::None
            });

            let fenced = frozen.run_for(Millis::from_secs(6));

            assert_eq!(fenced, Err(PlannerError::Fenced), "{step:?} {side:?}");
            assert!(
                answer(&platform, &id).is_some(),
                "{step:?} {side:?}: {:?}",
                job(&platform, &id)
            );
            let started = platform
                .record()
                .into_iter()
                .filter(|entry| entry.event == TaskEvent::Started)
                .count();
            assert_eq!(started, 2, "{step:?} {side:?}");
        }
    }
}

/// Guards against repeated or lost jobs when a request to the table or an endpoint, or its answer, is lost.
#[test]
fn lost_answers_do_not_repeat_or_lose_a_job() {
    for step in [
        Step::Place,
        Step::Run,
        Step::End,
        Step::Prepare,
        Step::Release,
        Step::Forget,
    ] {
        for side in [Side::Before, Side::After] {
            let platform = platform(4);
            let mut host = PlannerHost::start(&platform, "i0");
            let once = AtomicBool::new(false);
            host.link.set_hook(move |point| {
                let hit = point.step == step && point.side == side && !once.swap(true, Ordering::Relaxed);
                if hit { Fault::Cut } else { Fault::None }
            });
            let id = submit(&platform, "j", gang(2, 1000));
            host.planner.reload_job(id.clone());

            host.run_for(Millis::from_secs(8)).expect("not fenced");

            assert!(
                answer(&platform, &id).is_some(),
                "{step:?} {side:?}: {:?}",
                job(&platform, &id)
            );
            let started = platform
                .record()
                .into_iter()
                .filter(|entry| entry.event == TaskEvent::Started)
                .count();
            assert_eq!(started, 2, "{step:?} {side:?}");
        }
    }
}

/// Guards against a partial gang after the death of an endpoint, and against rerunning a non-idempotent job.
#[test]
fn dead_endpoint_ends_the_whole_attempt() {
    for idempotent in [true, false] {
        let platform = platform(4);
        let mut host = PlannerHost::start(&platform, "i0");
        let spec = yuccaridge::job::JobSpec {
            idempotent,
            team: name("a"),
            ..gang(1, 60_000)
        };
        let id = submit(&platform, "j", spec);
        host.planner.reload_job(id.clone());
        host.run_for(Millis::from_secs(2)).expect("not fenced");
        let Phase::Running { seats, .. } = job(&platform, &id).phase else {
            panic!("it runs")
        };
        platform.with_endpoint(&seats[0].endpoint, standin::endpoint::Endpoint::kill);

        host.run_for(Millis::from_secs(120)).expect("not fenced");

        match outcome(&platform, &id) {
            Some(Outcome::Completed { .. }) => assert!(idempotent),
            Some(Outcome::Failed { .. }) => assert!(!idempotent),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against members that continue to run after another member of their gang failed.
#[test]
fn failed_member_stops_the_others() {
    let platform = platform(4);
    let mut host = PlannerHost::start(&platform, "i0");
    platform.with_endpoint(&name("w1"), |endpoint, _| endpoint.set_fails_all(true));
    let spec = yuccaridge::job::JobSpec {
        idempotent: false,
        checkpoints: true,
        payload: json!({ "work_ms": 3000, "fail": "no such catalogue" }),
        ..gang(2, 3000)
    };
    let id = submit(&platform, "j", spec);
    host.planner.reload_job(id.clone());

    host.run_for(Millis::from_secs(10)).expect("not fenced");

    let Some(Outcome::Failed { reason }) = outcome(&platform, &id) else {
        panic!("{:?}", job(&platform, &id))
    };
    assert_eq!(reason, "no such catalogue");
}

/// Guards against a cancellation that is reported as done while members still run.
#[test]
fn cancellation_is_written_after_the_members_stopped() {
    let platform = platform(4);
    let mut host = PlannerHost::start(&platform, "i0");
    let id = submit(&platform, "j", gang(2, 60_000));
    host.planner.reload_job(id.clone());
    host.run_for(Millis::from_secs(2)).expect("not fenced");
    let mut row = job(&platform, &id);
    row.cancel = true;
    write_job(&platform, &row, true);

    host.run_for(Millis::from_secs(7)).expect("not fenced");

    assert_eq!(outcome(&platform, &id), Some(Outcome::Cancelled { ran: true }));
    let record = platform.record();
    assert_eq!(
        record.iter().filter(|entry| entry.event == TaskEvent::Stopped).count(),
        2
    );
}

/// Guards against running tasks that end because the table is down, and against outcomes that are lost in the outage.
#[test]
fn table_outage_keeps_tasks_and_outcomes() {
    let platform = platform(4);
    let mut host = PlannerHost::start(&platform, "i0");
    let id = submit(&platform, "j", gang(2, 60_000));
    host.planner.reload_job(id.clone());
    host.run_for(Millis::from_secs(2)).expect("not fenced");
    let down = Arc::new(AtomicBool::new(true));
    let seen = Arc::clone(&down);
    host.link.set_hook(move |point| {
        if point.endpoint.is_none() && seen.load(Ordering::Relaxed) {
            Fault::Cut
        } else {
            Fault::None
        }
    });
    host.session_live = false;

    host.run_for(Millis::from_secs(600)).expect("not fenced");
    let during = outcome(&platform, &id);
    down.store(false, Ordering::Relaxed);
    host.run_for(SECOND + SECOND + SECOND).expect("not fenced");

    assert_eq!(during, None);
    assert!(answer(&platform, &id).is_some());
}

/// Guards against a new planner that ends a queued job as impossible before its endpoints have answered.
#[test]
fn successor_rejects_no_job_before_its_endpoints_answered() {
    let platform = platform(4);
    platform.clock.advance(Millis::from_secs(60));
    let id = submit(&platform, "j", gang(4, 1000));
    let mut host = PlannerHost::start(&platform, "i0");
    host.link.set_hook(|point| {
        if point.endpoint.is_some() {
            Fault::Cut
        } else {
            Fault::None
        }
    });
    host.run_for(Millis::from_secs(1)).expect("not fenced");
    let early = outcome(&platform, &id);
    host.link.set_hook(|_| Fault::None);

    host.run_for(Millis::from_secs(10)).expect("not fenced");

    assert_eq!(early, None);
    assert!(answer(&platform, &id).is_some(), "{:?}", job(&platform, &id));
}

/// Guards against a job that is ended as impossible because the rack that it needs is temporarily down.
#[test]
fn lost_rack_does_not_make_a_job_impossible() {
    let platform = platform(4);
    for index in 0..4 {
        platform.with_endpoint(&name(&format!("w{index}")), standin::endpoint::Endpoint::kill);
    }
    let id = submit(&platform, "j", gang(4, 1000));
    let mut host = PlannerHost::start(&platform, "i0");
    host.run_for(Millis::from_secs(60)).expect("not fenced");
    let during = outcome(&platform, &id);
    for index in 0..4 {
        platform.with_endpoint(&name(&format!("w{index}")), standin::endpoint::Endpoint::restart);
    }

    host.run_for(Millis::from_secs(30)).expect("not fenced");

    assert_eq!(during, None);
    assert!(answer(&platform, &id).is_some(), "{:?}", job(&platform, &id));
}
