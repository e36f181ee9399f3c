//! Rows of the store that hold what no writer of the system would write.

use std::sync::atomic::{AtomicUsize, Ordering};

use log::{LevelFilter, Log, Metadata, Record};
use prost::Message;
use yuccaridge::graph::{JobGraph, Step, Submission};
use yuccaridge::lead::{INTAKE, JOB};

use crate::world::{Instance, leader, put_leader_rows, run_in_virtual_time, sleep_ms, store};

/// Counts the log lines about undecodable entries.
struct EntryLog;

static ENTRY_LINES: AtomicUsize = AtomicUsize::new(0);

impl Log for EntryLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string() == "cannot decode the entry of an endpoint" {
            ENTRY_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Guards against a log that fills up because of one entry that is written again with each heartbeat.
#[test]
fn an_undecodable_entry_is_not_logged_each_time_it_is_written() {
    log::set_logger(&EntryLog).expect("no other logger");
    log::set_max_level(LevelFilter::Warn);
    run_in_virtual_time(async {
        let store = store();
        let _only = Instance::start(&store, "only", 500);
        sleep_ms(1_000).await;

        for _ in 0..40 {
            store.put("endpoints", "e1", b"odd".to_vec());
            sleep_ms(500).await;
        }
        store.put("endpoints", "e2", b"odd".to_vec());
        sleep_ms(500).await;

        assert_eq!(ENTRY_LINES.load(Ordering::Relaxed), 2);
    });
}

fn submission(count: u32) -> Submission {
    let step = Step {
        count,
        ..Step::default()
    };
    Submission {
        queue: "batch".to_owned(),
        team: String::new(),
        graph: JobGraph {
            steps: vec![step],
            ..JobGraph::default()
        },
        accepted_ms: 0,
        settings: None,
    }
}

/// Guards against a leader that allocates memory for each task of a row that no instance would have accepted.
#[test]
fn a_stored_job_that_no_instance_accepts_is_ignored() {
    run_in_virtual_time(async {
        let store = store();
        let _only = Instance::start(&store, "only", 500);
        sleep_ms(1_000).await;

        store.put(INTAKE, "00000000000000aa", submission(1_001).encode_to_vec());
        store.put(INTAKE, "00000000000000bb", submission(1_000).encode_to_vec());
        sleep_ms(1_000).await;

        assert_eq!(store.value(JOB, "00000000000000aa"), None);
        assert!(store.value(JOB, "00000000000000bb").is_some());
    });
}

/// Guards against a fencing token that starts again from zero, and a panic of the instance that would take over.
#[test]
fn the_largest_fencing_token_is_not_exceeded() {
    run_in_virtual_time(async {
        let store = store();
        put_leader_rows(&store, "former", u64::MAX, 90);

        let only = Instance::start(&store, "only", 500);
        sleep_ms(5_000).await;

        assert_eq!(leader(&store), Some(("former".to_owned(), u64::MAX)));
        assert!(only.is_running());
    });
}
