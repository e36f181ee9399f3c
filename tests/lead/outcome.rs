//! What callers are told about a submission that the store does not answer.

use tokio::time::{Duration, Instant};
use yuccaridge::intake::Denial;
use yuccaridge::lead::INTAKE;

use crate::world::{Instance, run_in_virtual_time, sleep_ms, store};

const ID: &str = "000000000000000a";

/// Guards against a write that is cut off at once, after which nobody knows whether the job was accepted.
#[test]
fn a_submission_without_time_left_is_refused_unsent() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        for left_ms in [0, 1, 5] {
            let sent_at = Instant::now();
            let submitted = instance.submit_within(ID, left_ms).await;

            assert_eq!(submitted, Err(Denial::TooLate), "{left_ms} ms left");
            assert_eq!(sent_at.elapsed(), Duration::ZERO, "{left_ms} ms left");
        }
        sleep_ms(1_000).await;
        assert_eq!(store.count(INTAKE), 0);
    });
}

/// Guards against a refusal of submissions that can be served in time.
#[test]
fn a_submission_with_little_time_left_is_accepted() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        let submitted = instance.submit_within(ID, 30).await;

        assert_eq!(submitted, Ok(()));
        assert_eq!(store.count(INTAKE), 1);
    });
}

/// Guards against a refusal after a write whose answer was cut off at the deadline: the job runs later.
#[test]
fn a_write_without_an_answer_is_never_refused() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        store.apply_next_write_late(INTAKE, 5_000);
        let submitted = instance.submit_within(ID, 30).await;
        sleep_ms(6_000).await;

        assert_eq!(submitted, Err(Denial::Unknown));
        assert_eq!(store.count(INTAKE), 1);
    });
}

/// Guards against a submission whose outcome counts as unknown although the store could not be reached at all.
#[test]
fn a_submission_without_a_connection_is_refused() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        store.block_connections(1_500);
        let submitted = instance.submit_within(ID, 700).await;
        sleep_ms(2_000).await;

        assert_eq!(submitted, Err(Denial::Unavailable));
        assert_eq!(store.count(INTAKE), 0);
    });
}

/// Guards against a refusal after two attempts of which the first has had no answer and the second found no connection: the
/// first takes effect later.
#[test]
fn an_unanswered_write_is_not_refused_for_want_of_a_connection() {
    run_in_virtual_time(async {
        let store = store();
        let instance = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        store.lose_answers(20);
        let (submitted, ()) = tokio::join!(instance.submit_within(ID, 700), async {
            sleep_ms(30).await;
            store.block_connections(2_000);
        });

        assert_eq!(submitted, Err(Denial::Unknown));
        assert_eq!(store.count(INTAKE), 1);
    });
}

/// Guards against a delay between acceptance and the leader that nobody sees, and a job that counts twice because a hint and
/// the feed tell of it.
#[test]
fn the_leader_counts_each_job_that_it_reads_once() {
    run_in_virtual_time(async {
        let store = store();
        let leader = Instance::start(&store, "first", 500);
        sleep_ms(1_000).await;

        leader.submit(ID).await.expect("a store that answers");
        sleep_ms(1_000).await;

        assert!(leader.has_metric("yuccaridge_job_read_delay_seconds_count 1"));
    });
}
