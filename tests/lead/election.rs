//! Who leads when the store is slow, when leaders die, and when all start at once.

use yuccaridge::intake::Denial;
use yuccaridge::lead::{INTAKE, JOB, PENDING, PHASE, intake_partition};

use crate::world::{Instance, leader, leave_lead, pass, play, store};

/// Guards against a lead that changes hands because the leader's renewals queue behind the jobs of callers: a store that is
/// 67 times as slow carries out five transactions a second in a partition, and 13 jobs a second arrive.
#[test]
fn a_slow_store_costs_neither_the_lead_nor_jobs() {
    play(async {
        let store = store();
        let instances: Vec<Instance> = (0..7)
            .map(|at| Instance::start(&store, &format!("i{at}"), 500 - 50 * at))
            .collect();
        pass(3_000).await;
        let before = leader(&store);

        store.slow_down(67);
        let mut answers = tokio::task::JoinSet::new();
        let instances = std::rc::Rc::new(instances);
        for number in 0..52_usize {
            let instances = std::rc::Rc::clone(&instances);
            answers.spawn_local(async move { instances[number % 7].submit(&format!("{number:016x}")).await });
            pass(77).await;
        }
        let answers: Vec<Result<(), Denial>> = answers.join_all().await;

        assert_eq!(leader(&store), before);
        assert!(before.is_some());
        assert_eq!(
            answers.iter().filter(|answer| answer.is_err()).count(),
            0,
            "{answers:?}"
        );
        assert_eq!(store.declined(), 0);
    });
}

/// Guards against a lead that stays free after its holder died.
#[test]
fn the_lead_of_a_lost_instance_is_taken() {
    play(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        let _second = Instance::start(&store, "second", 250);
        pass(1_000).await;
        assert_eq!(leader(&store), Some(("first".to_owned(), 1)));

        first.kill();
        pass(2_500).await;

        assert_eq!(leader(&store), Some(("second".to_owned(), 2)));
    });
}

/// Guards against a small instance that takes the lead again because it led before all were restarted.
#[test]
fn after_a_restart_of_all_the_largest_leads() {
    play(async {
        let store = store();
        leave_lead(&store, "small", 4, 90);

        let _small = Instance::start(&store, "small", 90);
        let _large = Instance::start(&store, "large", 500);
        pass(1_000).await;

        assert_eq!(leader(&store), Some(("large".to_owned(), 5)));
    });
}

/// Guards against a stop that leaves the lead to lapse.
#[test]
fn a_leader_that_stops_hands_over_at_once() {
    play(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        let _second = Instance::start(&store, "second", 250);
        pass(1_000).await;

        first.stop.stop();
        pass(600).await;

        assert_eq!(leader(&store), Some(("second".to_owned(), 2)));
    });
}

/// Guards against a takeover that waits for every partition of a store that is down in part: the new leader goes on with the
/// jobs that the former one had taken in, and with those that it can read.
#[test]
fn a_new_leader_does_not_wait_for_withheld_partitions() {
    play(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        let second = Instance::start(&store, "second", 250);
        for number in 0..24 {
            first
                .submit(&format!("{number:016x}"))
                .await
                .expect("a store that answers");
        }
        pass(1_000).await;

        store.withhold("3");
        first.kill();
        store.put(PENDING, "1", Vec::new());
        pass(3_000).await;
        let before = store.value(PENDING, "1");
        let open = (24..99)
            .map(|number| format!("{number:016x}"))
            .find(|id| *intake_partition(id) != *"3");
        second
            .submit(&open.expect("a job of another partition"))
            .await
            .expect("a partition that answers");
        pass(1_000).await;

        assert!((0..24).any(|number| *intake_partition(&format!("{number:016x}")) == *"3"));
        assert_eq!(before.as_deref(), Some(&b"batch\t24\n"[..]));
        assert_eq!(store.value(PENDING, "1").as_deref(), Some(&b"batch\t25\n"[..]));
    });
}

/// Guards against jobs that wait for a silent feed, as when the store drops its history.
#[test]
fn jobs_reach_the_leader_while_the_feeds_are_silent() {
    play(async {
        let store = store();
        let _first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        let second = Instance::start(&store, "second", 250);
        pass(1_000).await;

        store.mute(1_500);
        second.submit("000000000000000a").await.expect("a store that answers");
        pass(900).await;

        assert_eq!(store.value(PENDING, "1").as_deref(), Some(&b"batch\t1\n"[..]));
    });
}

/// Guards against an instance that refuses callers because a silent feed does not confirm its configuration.
#[test]
fn the_configuration_stays_fresh_while_the_feeds_are_silent() {
    play(async {
        let store = store();
        let only = Instance::start(&store, "only", 500);
        pass(1_000).await;

        store.mute(4_000);
        pass(3_000).await;

        assert!(only.is_fresh());
    });
}

/// Guards against a lead that goes to whichever instance happens to look first: calls that wait for a renewal end at
/// different times.
#[test]
fn the_largest_takes_the_lead_of_a_lost_instance() {
    for offset in 0..10 {
        play(async {
            let store = store();
            let first = Instance::start(&store, "first", 500);
            pass(1_000).await;
            let mut others = Vec::new();
            for at in 0..8 {
                others.push(Instance::start(&store, &format!("small{at}"), 90));
                pass(61).await;
            }
            let _large = Instance::start(&store, "large", 500);
            pass(1_000 + 50 * offset).await;

            first.kill();
            pass(2_500).await;

            assert_eq!(leader(&store), Some(("large".to_owned(), 2)), "offset {offset}");
        });
    }
}

/// Guards against a store that fills up, and a takeover that reads all jobs that ever were.
#[test]
fn rows_of_jobs_that_ended_long_ago_go() {
    play(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        first.submit("000000000000000a").await.expect("a store that answers");
        first.submit("000000000000000b").await.expect("a store that answers");
        first.cancel("000000000000000a").await.expect("a store that answers");
        pass(50_000).await;
        let kept = [INTAKE, JOB, PHASE].map(|table| store.count(table));

        pass(20_000).await;

        // What was accepted and cancelled; then the open job only.
        assert_eq!(kept, [3, 2, 2]);
        assert_eq!([INTAKE, JOB, PHASE].map(|table| store.count(table)), [1, 1, 1]);
    });
}

/// Guards against an id whose job has gone and that nobody can use again.
#[test]
fn an_id_names_a_new_job_after_its_rows_have_gone() {
    play(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        first.submit("000000000000000a").await.expect("a store that answers");
        first.cancel("000000000000000a").await.expect("a store that answers");
        pass(70_000).await;

        first.submit("000000000000000a").await.expect("a store that answers");
        pass(1_000).await;

        assert_eq!(store.value(PENDING, "1").as_deref(), Some(&b"batch\t1\n"[..]));
    });
}

/// Guards against a late word of the removal that is taken for the job itself.
#[test]
fn an_id_names_a_new_job_also_if_the_feed_tells_late_of_the_removal() {
    play(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        pass(1_000).await;
        first.submit("000000000000000a").await.expect("a store that answers");
        first.cancel("000000000000000a").await.expect("a store that answers");
        pass(58_000).await;

        store.mute(8_000);
        pass(10_000).await;
        first.submit("000000000000000a").await.expect("a store that answers");
        pass(1_000).await;

        assert_eq!(store.count(INTAKE), 1);
        assert_eq!(store.value(PENDING, "1").as_deref(), Some(&b"batch\t1\n"[..]));
    });
}
