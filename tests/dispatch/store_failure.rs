//! Transactions that fail while endpoints go on to report.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yuccaridge::graph::Phase;
use yuccaridge::port::Outcome;

use crate::world::{BORN, World, gang, name, step};

/// Guards against the loss of an end that is acknowledged to its endpoint although the job was never stored as done.
#[test]
fn a_job_that_ended_is_kept_until_its_end_is_stored() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.report(&starts[0].endpoint, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    let failed = world.dispatcher.snapshot().expect("an end to store");
    world.now += 100;
    world.report(&starts[1].endpoint, &[], &[]);

    world.dispatcher.store_failed(failed);
    let next = world.dispatcher.snapshot().expect("the same end again");

    assert_eq!(next.last_ends, [(Arc::clone(&starts[0].endpoint), BORN, 1)]);
    let phases: Vec<_> = next.jobs.iter().map(|write| (&*write.id, write.phase)).collect();
    assert_eq!(phases, [("job", Phase::Done)]);
}

/// Guards against jobs that stay in memory for good after their end was stored.
#[test]
fn a_job_is_forgotten_once_its_end_is_stored_and_its_runs_are_gone() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    world.report(&starts[0].endpoint, &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    world.advance(50);
    assert!(world.dispatcher.jobs().contains_key(&name("job")));

    world.report(&starts[1].endpoint, &[], &[(1, "job.0.0.1", 1, Outcome::Done)]);
    world.advance(50);

    assert!(world.dispatcher.jobs().is_empty());
}

/// Guards against an end that its endpoint is told to forget before it is stored: with more ended jobs than one transaction
/// holds, a leader that is lost after the first would leave work that has ended as done to be started again.
#[test]
fn an_end_is_forgotten_only_with_the_transaction_that_stores_it() {
    let mut world = World::new(8);
    for index in 0..64 {
        world.submit(&format!("job{index}"), "normal", vec![step(1, 1, 1_000)]);
    }
    let starts = world.advance(50);
    world.confirm(&starts);
    assert_eq!(starts.len(), 64);
    let mut ended: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
    for start in &starts {
        ended
            .entry(Arc::clone(&start.endpoint))
            .or_default()
            .push(Arc::clone(&start.job));
    }
    for (endpoint, jobs) in &ended {
        let tasks: Vec<String> = jobs.iter().map(|job| format!("{job}.0.0.0")).collect();
        let ends = tasks.iter().zip(1..);
        let ends: Vec<_> = ends.map(|(task, number)| (number, &**task, 1, Outcome::Done)).collect();
        world.report(endpoint, &[], &ends);
    }

    let (mut stored, mut early, mut transactions) = (BTreeSet::new(), Vec::new(), 0);
    while let Some(snapshot) = world.dispatcher.snapshot() {
        transactions += 1;
        stored.extend(snapshot.jobs.iter().map(|write| Arc::clone(&write.id)));
        for (endpoint, _, number) in &snapshot.last_ends {
            let jobs = ended[endpoint].iter().take(*number as usize);
            early.extend(jobs.filter(|job| !stored.contains(*job)).cloned());
        }
        world.dispatcher.stored(snapshot, world.now);
    }

    assert!(transactions > 1, "all ends fit into one transaction");
    assert_eq!(stored.len(), 64);
    assert_eq!(early, Vec::<Arc<str>>::new());
}
