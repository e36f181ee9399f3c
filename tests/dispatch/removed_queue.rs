//! Jobs of queues that the configuration of a new leader does not have.

use std::sync::Arc;

use prost::Message;
use yuccaridge::graph::{JobGraph, JobRecord, Phase, QueueSettings, Step, Submission};
use yuccaridge::port::{Outcome, Queue, SiteConfig};

use crate::world::{World, config, name, step, submission};

/// Version of the configuration that accepted the jobs.
const ACCEPTED_VERSION: u64 = 5;

/// A submission that the present form of the program accepted while the queue had these settings.
fn accepted(queue: &Queue, steps: Vec<Step>) -> Submission {
    Submission {
        settings: Some(QueueSettings::of(queue, ACCEPTED_VERSION)),
        ..submission(&queue.name, steps)
    }
}

/// A configuration without these queues.
fn config_without(queues: &[&str], version: u64) -> Arc<SiteConfig> {
    let mut config = config();
    config.version = version;
    config.queues.retain(|queue, _| !queues.contains(&&**queue));
    Arc::new(config)
}

/// A leader with idle endpoints that took over after the queue was removed and reads a job with this record.
fn take_over(submission: &Submission, record: Option<&JobRecord>) -> World {
    let mut world = World::new(4);
    world
        .dispatcher
        .configure(config_without(&[&submission.queue], ACCEPTED_VERSION + 1));
    let phase = if record.is_some() {
        Phase::Running
    } else {
        Phase::Queued
    };
    // As read from its row.
    let read = Submission::decode(&*submission.encode_to_vec()).expect("a submission");
    world.dispatcher.submit(&name("job"), read, record, phase, 0, world.now);
    world
}

/// Runs until the next start and reports that it failed; returns the number of its run.
fn fail_next_run(world: &mut World, end: u64) -> Option<u32> {
    let starts = world.advance_to_start();
    let start = starts.first()?.clone();
    world.confirm(&starts);
    world.report(&start.endpoint, &[], &[(end, &*start.task, start.run, Outcome::Failed)]);
    world.advance(50);
    Some(start.run)
}

/// Guards against a job whose remaining steps never start because its queue was removed before the leader took over.
#[test]
fn a_job_of_a_removed_queue_is_continued_after_a_takeover() {
    let queue = Arc::clone(&config().queues["normal"]);
    let second_step = Step {
        after: vec![0],
        ..step(1, 1, 1_000)
    };
    let job = accepted(&queue, vec![step(1, 1, 1_000), second_step]);
    let mut first = World::new(1);
    first
        .dispatcher
        .submit(&name("job"), job.clone(), None, Phase::Queued, 0, first.now);
    let starts = first.advance(50);
    first.confirm(&starts);
    first.report("e0", &[], &[(1, "job.0.0.0", 1, Outcome::Done)]);
    first.advance(50);
    let write = first.job("job").clone();
    let stored = write.submission.unwrap_or(job);

    let mut second = take_over(&stored, Some(&write.record));
    second.report("e0", &[], &[]);
    let starts = second.advance(500);

    assert_eq!(
        starts.iter().map(|start| &*start.task).collect::<Vec<_>>(),
        ["job.0.1.0"]
    );
}

/// Guards against a job that is accepted just before the removal of its queue and read by the leader just after it.
#[test]
fn a_job_that_is_read_after_the_removal_of_its_queue_is_started() {
    let queue = Arc::clone(&config().queues["normal"]);
    let mut world = take_over(&accepted(&queue, vec![step(1, 1, 1_000)]), None);

    let starts = world.advance(100);

    assert_eq!(starts.len(), 1);
}

/// Guards against more or fewer attempts than the removed queue allowed.
#[test]
fn a_job_of_a_removed_queue_has_its_attempts() {
    let queue = Queue {
        attempts: 2,
        ..Queue::clone(&config().queues["normal"])
    };
    let mut world = take_over(&accepted(&queue, vec![step(1, 1, 1_000)]), None);

    let runs = [1, 2, 3].map(|end| fail_next_run(&mut world, end));

    assert_eq!(runs, [Some(1), Some(2), None]);
    assert_eq!(world.job("job").phase, Phase::Failed);
}

/// Guards against starts without a ticket of tasks of a removed queue that needs one.
#[test]
fn a_job_of_a_removed_queue_with_advice_needs_a_ticket() {
    let queue = Arc::clone(&config().queues["advised"]);
    let mut world = take_over(&accepted(&queue, vec![step(1, 1, 1_000)]), None);

    let starts = world.advance(500);

    assert_eq!(starts, []);
    let requests: Vec<u64> = world.advice_requests.iter().map(|request| request.valid_ms).collect();
    assert_eq!(requests, [3_000]);
}

/// Guards against settings of the acceptance that replace those of the configuration.
#[test]
fn the_configuration_has_precedence_over_the_settings_of_the_acceptance() {
    let moved = Queue {
        pool: name("former pool"),
        ..Queue::clone(&config().queues["normal"])
    };
    let job = accepted(&moved, vec![step(1, 1, 1_000)]);
    let mut world = World::new(1);
    world
        .dispatcher
        .submit(&name("job"), job.clone(), None, Phase::Queued, 0, world.now);
    let at_once = world.advance(100);

    let mut after_removal = take_over(&job, None);
    let removed = after_removal.advance(100);
    after_removal
        .dispatcher
        .configure(config_without(&[], ACCEPTED_VERSION + 2));
    let listed_again = after_removal.advance(100);

    assert_eq!(at_once.len(), 1);
    assert_eq!(removed, []);
    assert_eq!(listed_again.len(), 1);
}

/// Guards against a start by a leader that has not read the configuration with the queue yet, so that callers who reach
/// its instance are told that there is no such queue.
#[test]
fn a_leader_with_an_older_configuration_waits_for_a_newer_one() {
    let queue = Queue {
        name: name("new"),
        ..Queue::clone(&config().queues["normal"])
    };
    let job = accepted(&queue, vec![step(1, 1, 1_000)]);
    let mut world = World::new(1);
    world.dispatcher.configure(config_without(&[], ACCEPTED_VERSION - 1));
    world
        .dispatcher
        .submit(&name("job"), job, None, Phase::Queued, 0, world.now);

    let before = world.advance(1_000);
    world.dispatcher.configure(config_without(&[], ACCEPTED_VERSION));
    let after = world.advance(100);

    assert_eq!(before, []);
    assert_eq!(after.len(), 1);
}

/// An accepted job as it was stored before the settings were part of it.
#[derive(Clone, PartialEq, Message)]
struct FormerSubmission {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    team: String,
    #[prost(message, required, tag = "3")]
    graph: JobGraph,
    #[prost(uint64, tag = "4")]
    accepted_ms: u64,
}

/// Guards against rows of an earlier version that the leader cannot read.
#[test]
fn a_submission_without_settings_is_decoded() {
    let expected = submission("normal", vec![step(1, 1, 1_000)]);
    let former = FormerSubmission {
        queue: expected.queue.clone(),
        team: expected.team.clone(),
        graph: expected.graph.clone(),
        accepted_ms: expected.accepted_ms,
    };

    let read = Submission::decode(&*former.encode_to_vec()).expect("a submission");

    assert_eq!(read, expected);
}
