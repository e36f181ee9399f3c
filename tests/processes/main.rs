//! Real processes that are killed, frozen, drained and raced.

mod cluster;

use std::thread;

use cluster::{Site, call, gang, id, ticket, until};
use serde_json::json;
use standin::record::Deed;
use yuccaridge::api::JobState;
use yuccaridge::job::Outcome;
use yuccaridge::time::Millis;

fn completed(answer: serde_json::Value) -> Outcome {
    Outcome::Completed { answer }
}

/// Guards against instances that do not know of each other's jobs.
#[test]
fn job_of_one_instance_is_answered_by_another() {
    let site = Site::start(4, 3);
    let job = id("j");

    site.instances[0]
        .client
        .submit(&job, &gang(4, 200), None)
        .expect("accepted");
    let batch = site.end_of(1, &job);
    let call = site.instances[2]
        .client
        .submit(&id("c"), &call(true, 5), None)
        .expect("carried out");

    assert_eq!(batch.outcome, Some(completed(json!(["done", "done", "done", "done"]))));
    assert_eq!(call.outcome, Some(completed(json!("done"))));
}

/// Guards against a gang that is lost, doubled or split when its planner is killed.
#[test]
fn killed_planner_loses_nothing() {
    let site = Site::start(4, 3);
    let (planner, other) = (site.planner().expect("a planner"), site.bystander());
    let job = id("j");
    site.instances[other]
        .client
        .submit(&job, &gang(4, 6000), None)
        .expect("accepted");
    until("a start", || {
        site.record(&job).iter().any(|entry| entry.deed == Deed::Started)
    });

    site.instances[planner].signal("KILL");
    let view = site.end_of(other, &job);

    assert_eq!(view.outcome, Some(completed(json!(["done", "done", "done", "done"]))));
    let started = site
        .record(&job)
        .iter()
        .filter(|entry| entry.deed == Deed::Started)
        .count();
    assert_eq!(started, 4);
}

/// Guards against a planner that was frozen past its lease and acts on what it still believes.
#[test]
fn frozen_planner_does_no_harm_when_it_wakes() {
    let site = Site::start(4, 3);
    let (planner, other) = (site.planner().expect("a planner"), site.bystander());
    let (first, second) = (id("first"), id("second"));
    site.instances[other]
        .client
        .submit(&first, &gang(4, 8000), None)
        .expect("accepted");
    until("a start", || {
        site.record(&first).iter().any(|entry| entry.deed == Deed::Started)
    });

    site.instances[planner].signal("STOP");
    until("a new planner", || {
        let holder = site.instances[other].client.status().ok();
        let holder = holder.and_then(|status| status.pools.into_values().next().flatten());
        holder.is_some_and(|holder| holder != site.instances[planner].name)
    });
    site.instances[planner].signal("CONT");
    site.instances[other]
        .client
        .submit(&second, &gang(4, 200), None)
        .expect("accepted");

    for job in [&first, &second] {
        let view = site.end_of(other, job);
        assert_eq!(
            view.outcome,
            Some(completed(json!(["done", "done", "done", "done"]))),
            "{job}"
        );
        let started = site
            .record(job)
            .iter()
            .filter(|entry| entry.deed == Deed::Started)
            .count();
        assert_eq!(started, 4, "{job}");
    }
}

/// Guards against a planned stop that cuts off a call, loses a gang, or leaves a pool without a planner.
#[test]
fn drain_cuts_off_nothing() {
    for idempotent in [true, false] {
        let mut site = Site::start(4, 2);
        let planner = site.planner().expect("a planner");
        let other = site.bystander();
        let job = id("j");
        site.instances[other]
            .client
            .submit(&job, &gang(4, 3000), None)
            .expect("accepted");
        let client = site.instances[planner].client.clone();
        let caller = thread::spawn(move || client.submit(&id("c"), &call(idempotent, 1500), None));
        until("the call", || {
            site.record(&id("c")).iter().any(|entry| entry.deed == Deed::Started)
        });

        site.instances[planner].signal("TERM");
        let answer = caller.join().expect("the caller").expect("an answer");
        let ended = site.instances[planner].wait();
        let view = site.end_of(other, &job);

        assert_eq!(answer.outcome, Some(completed(json!("done"))));
        assert!(ended, "the process ends without an error");
        assert_eq!(view.outcome, Some(completed(json!(["done", "done", "done", "done"]))));
    }
}

/// Guards against two operators who both believe that their ticket of the same number is in force.
#[test]
fn racing_tickets_have_one_winner() {
    let site = Site::start(1, 3);
    for number in 2..6 {
        let senders: Vec<_> = [10, 20, 30]
            .into_iter()
            .zip(&site.instances)
            .map(|(quota, instance)| {
                let client = instance.client.clone();
                thread::spawn(move || (quota, client.put_ticket(number, ticket(quota).to_string().as_bytes())))
            })
            .collect();

        let results: Vec<_> = senders
            .into_iter()
            .map(|sender| sender.join().expect("the sender"))
            .collect();

        let winners: Vec<_> = results
            .iter()
            .filter(|(_, result)| result.is_ok())
            .map(|(quota, _)| *quota)
            .collect();
        assert_eq!(winners.len(), 1, "ticket {number}: {results:?}");
        for instance in &site.instances {
            let catalog = instance.client.catalog().expect("in force");
            let team = catalog.teams.into_values().next().expect("the team");
            assert_eq!((catalog.number, team.quota), (number, winners[0]));
        }
    }
}

/// Guards against a cancel that is lost between instances.
#[test]
fn cancel_reaches_the_planner() {
    let site = Site::start(4, 3);
    let (planner, other) = (site.planner().expect("a planner"), site.bystander());
    let job = id("j");
    site.instances[planner]
        .client
        .submit(&job, &gang(2, 60_000), None)
        .expect("accepted");
    until("a start", || {
        site.record(&job).iter().any(|entry| entry.deed == Deed::Started)
    });

    let view = site.instances[other].client.cancel(&job).expect("taken");
    let ended = site.end_of(other, &job);

    assert_eq!(view.state, JobState::Cancelling);
    assert_eq!(ended.outcome, Some(Outcome::Cancelled { ran: true }));
    assert!(
        site.record(&job)
            .iter()
            .filter(|entry| entry.deed == Deed::Stopped)
            .count()
            == 2
    );
    assert!(site.instances[planner].client.job(&job, Millis::ZERO).is_ok());
}
