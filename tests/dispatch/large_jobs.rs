//! Jobs that are as large as the limits allow.

use prost::Message;
use yuccaridge::dispatch::{JobWrite, Start};
use yuccaridge::graph::{Phase, Step};
use yuccaridge::port::Outcome;

use crate::world::{BORN, World, step};

/// Largest transaction that the store accepts, in bytes, and the part of it that rows of jobs may take.
const TRANSACTION_BYTES_MAX: usize = 1_000_000;
const OTHER_ROWS_BYTES_MAX: usize = 100_000;

/// Largest row that the store accepts, in bytes.
const ROW_BYTES_MAX: usize = 65_536;

/// A job of 400 steps whose submission takes almost a whole row.
fn steps_of_a_large_job() -> Vec<Step> {
    let large = Step {
        label: "a label that makes the submission large: ".repeat(3),
        ..step(1, 1, 1_000)
    };
    vec![large; 400]
}

/// Size of the rows of a job in a transaction, in Base64.
fn base64_len(write: &JobWrite) -> usize {
    let submission = write.submission.as_ref().map_or(0, Message::encoded_len);
    (submission.div_ceil(3) + write.record.encoded_len().div_ceil(3)) * 4
}

/// Guards against a leader that is lost for good because its transaction exceeds the limit of the store: after a takeover,
/// up to 30 large jobs went into one, the store refused it, and the same transaction was sent again and again.
#[test]
fn large_jobs_are_stored_in_several_transactions() {
    let mut world = World::new(1);
    for index in 0..30 {
        world.submit(&format!("job{index}"), "normal", steps_of_a_large_job());
    }

    let (mut sizes, mut jobs) = (Vec::new(), 0);
    while let Some(snapshot) = world.dispatcher.snapshot() {
        sizes.push(snapshot.jobs.iter().map(base64_len).sum::<usize>());
        jobs += snapshot.jobs.len();
        world.dispatcher.stored(snapshot, world.now);
    }

    assert_eq!(jobs, 30);
    assert!(sizes.iter().sum::<usize>() > 2 * TRANSACTION_BYTES_MAX, "{sizes:?}");
    let most = TRANSACTION_BYTES_MAX - OTHER_ROWS_BYTES_MAX;
    assert!(sizes.iter().all(|size| *size <= most), "{sizes:?}");
}

/// Guards against a leader that can store nothing any more because the record of one job exceeds the limit of a row: a
/// thousand tasks with checkpoints ran at once on endpoints with long names.
#[test]
fn the_record_of_a_wide_job_fits_a_row() {
    let mut world = World::empty();
    let names: Vec<String> = (0..130)
        .map(|index| format!("{index:08x}-5d4c-4b1e-9a77-21d94bf50000"))
        .collect();
    for name in &names {
        world.enter(name, BORN);
        world.report(name, &[], &[]);
    }
    let wide = Step {
        checkpoints: true,
        ..step(1_000, 1, 80_000)
    };
    world.submit("job", "normal", vec![wide]);

    let mut largest = 0;
    world.advance(100);
    for round in 1..20 {
        let starts = world.starts.split_off(0);
        world.confirm(&starts);
        // The tasks save once and end one round later.
        for name in &names {
            let tasks: Vec<&Start> = starts.iter().filter(|start| *start.endpoint == **name).collect();
            world.report_checkpoints(name, &tasks);
        }
        for name in &names {
            let tasks: Vec<&Start> = starts.iter().filter(|start| *start.endpoint == **name).collect();
            let ends = tasks.iter().enumerate();
            let ends =
                ends.map(|(index, start)| (round * 1_000 + index as u64, &*start.task, start.run, Outcome::Done));
            let ends: Vec<_> = ends.collect();
            world.report(name, &[], &ends);
            // The end of one task stores the checkpoints of all.
            world.round();
            largest = largest.max(world.job("job").record.encoded_len());
        }
    }

    assert!(largest <= ROW_BYTES_MAX, "{largest} bytes");
    assert_eq!(world.job("job").phase, Phase::Done);
}
