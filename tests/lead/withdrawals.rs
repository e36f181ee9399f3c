//! Cancellations of jobs whose submission is still on its way to the store.

use yuccaridge::graph::Phase;
use yuccaridge::intake::Denial;
use yuccaridge::lead::{INTAKE, JOB, PHASE, WITHDRAWN, decode_phase};

use crate::world::{Instance, run_in_virtual_time, sleep_ms, store};

const ID: &str = "000000000000000a";

/// Guards against a job that runs after its cancelling was acknowledged: the write of its submission had no answer and was
/// applied seconds after the caller had cancelled the job and learned that there is none.
#[test]
fn a_late_submission_does_not_undo_a_cancellation() {
    run_in_virtual_time(async {
        let store = store();
        store.put("endpoints", "10.0.0.1:1", Vec::new());
        let first = Instance::start(&store, "first", 500);
        let second = Instance::start(&store, "second", 90);
        first.answer_holds();
        sleep_ms(1_000).await;

        store.apply_next_write_late(INTAKE, 5_000);
        let submitted = first.submit(ID).await;
        let cancelled = second.cancel(ID).await;
        sleep_ms(8_000).await;

        assert_eq!(submitted, Err(Denial::Unknown));
        assert_eq!(cancelled, Err(Denial::NoJob));
        assert_eq!([INTAKE, JOB].map(|table| store.count(table)), [0, 0]);
        assert!(first.starts().is_empty(), "{:?}", first.starts());
    });
}

/// Guards against a new leader that takes up a job which was cancelled under its predecessor.
#[test]
fn a_late_submission_stays_cancelled_after_a_takeover() {
    run_in_virtual_time(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        let second = Instance::start(&store, "second", 90);
        sleep_ms(1_000).await;

        store.apply_next_write_late(INTAKE, 5_000);
        let submitted = second.submit(ID).await;
        let cancelled = second.cancel(ID).await;
        first.kill();
        sleep_ms(10_000).await;

        assert_eq!(submitted, Err(Denial::Unknown));
        assert_eq!(cancelled, Err(Denial::NoJob));
        assert_eq!([INTAKE, JOB].map(|table| store.count(table)), [0, 0]);
    });
}

/// Guards against an acknowledged cancelling that is forgotten because the answer to its own write was lost.
#[test]
fn a_cancellation_whose_answer_is_lost_holds() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        store.lose_answers(300);
        let cancelled = instance.cancel(ID).await;
        sleep_ms(1_000).await;

        assert_eq!(cancelled, Err(Denial::NoJob));
        assert_eq!(instance.submit(ID).await, Err(Denial::Withdrawn));
        assert_eq!(instance.cancel(ID).await, Err(Denial::NoJob));
    });
}

/// Guards against a job that is taken for unknown because it was stored after the cancelling had looked for it.
#[test]
fn a_job_that_is_stored_meanwhile_is_cancelled() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        store.delay_partition_reads(500);
        let (cancelled, submitted) = tokio::join!(instance.cancel(ID), async {
            sleep_ms(100).await;
            instance.submit(ID).await
        });
        sleep_ms(3_000).await;

        assert_eq!((cancelled, submitted), (Ok(()), Ok(())));
        let phase = store.value(PHASE, ID).expect("a phase");
        assert_eq!(decode_phase(&phase), Some((Phase::Cancelled, "")));
    });
}

/// Guards against a team that stops the job of another one before it arrives.
#[test]
fn a_team_withdraws_only_its_own_jobs() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        let cancelled = instance.cancel_as("shops", ID).await;

        assert_eq!(cancelled, Err(Denial::NoJob));
        assert_eq!(instance.submit_as("shops", ID).await, Err(Denial::Withdrawn));
        assert_eq!(instance.submit_as("clinics", ID).await, Ok(()));
    });
}

/// Guards against a caller that fills the store by cancelling made-up ids.
#[test]
fn cancellations_of_unknown_jobs_are_limited_and_removed() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        let mut denials = Vec::new();
        for number in 0..200 {
            denials.push(instance.cancel_as("shops", &format!("{number:016x}")).await);
        }
        let written = store.count(WITHDRAWN);
        let other_team = instance.cancel_as("clinics", ID).await;
        sleep_ms(10_000).await;
        let later = instance.cancel_as("shops", ID).await;
        sleep_ms(200_000).await;

        let accepted = denials.iter().filter(|denial| **denial == Err(Denial::NoJob)).count();
        assert_eq!(denials[0], Err(Denial::NoJob));
        assert_eq!(denials[199], Err(Denial::TooMany));
        assert!(accepted <= 60, "{accepted} accepted");
        assert_eq!(written, 2 * accepted);
        assert_eq!(other_team, Err(Denial::NoJob));
        assert_eq!(later, Err(Denial::NoJob));
        assert_eq!(store.count(WITHDRAWN), 0);
    });
}

/// Guards against a cancellation that is removed while a submission of the job may still be on its way: for 60 s, the longest
/// deadline of a request, and the time for which the store may hold a write.
#[test]
fn a_cancellation_is_kept_after_the_last_call() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(60_000).await;
        let first = instance.cancel(ID).await;
        sleep_ms(60_000).await;

        let second = instance.cancel(ID).await;
        sleep_ms(75_000).await;

        assert_eq!([first, second], [Err(Denial::NoJob), Err(Denial::NoJob)]);
        assert_eq!(instance.submit(ID).await, Err(Denial::Withdrawn));
    });
}

/// Guards against a job that runs although its cancelling was acknowledged, because the leader read the cancellation before
/// it read the job: the change feed overtook a read of the partition that had begun before the cancelling.
#[test]
fn a_cancellation_that_is_read_before_its_job_holds() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        store.silence_feeds(1_000);
        store.delay_partition_reads(3_000);
        store.drop_history();
        instance.submit(ID).await.expect("a store that answers");
        sleep_ms(1_500).await;
        store.delay_partition_reads(0);
        instance.cancel(ID).await.expect("a store that answers");
        let before = store.value(PHASE, ID);
        sleep_ms(4_000).await;

        assert_eq!(before, None, "the leader knew the job before it was cancelled");
        let phase = store.value(PHASE, ID).expect("a phase");
        assert_eq!(decode_phase(&phase), Some((Phase::Cancelled, "")));
    });
}
