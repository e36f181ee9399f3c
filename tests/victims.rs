//! Whose work is stopped for an urgent unit: gangs that wait for many endpoints once they are stopped, beside single tasks.

use yuccaridge::victims::{RestartWaits, Stake, least_speed};

/// A gang of twelve tasks that has saved its work, or eight single tasks that have not.
fn stake(cores: f64, lost_ms: u64) -> Stake {
    Stake {
        cores,
        lost_ms,
        wait_ms: 0,
        stops: 0,
        in_time: false,
    }
}

/// Guards against stopping a gang because its checkpoints make it look cheap, although it waits for seconds afterwards.
#[test]
fn a_gang_that_waits_again_costs_more_than_single_tasks() {
    let mut waits = RestartWaits::default();
    waits.add("gangs", 4_000);
    let singles = stake(8.0 * 11.0, 4_000);

    let unknown = stake(600.0, 300);
    let known = Stake {
        wait_ms: waits.expected_ms("gangs"),
        ..unknown
    };

    assert!(unknown.loss() < singles.loss());
    assert!(known.loss() > singles.loss());
}

/// Guards against a unit that is stopped again and again.
#[test]
fn each_stop_makes_the_next_one_dearer() {
    let once = Stake {
        stops: 1,
        ..stake(10.0, 1_000)
    };
    let thrice = Stake { stops: 3, ..once };

    assert_eq!(
        (stake(10.0, 1_000).loss(), once.loss(), thrice.loss()),
        (10.0, 20.0, 40.0)
    );
}

/// Guards against stopping what is late then, although something else would still be in time.
#[test]
fn a_job_that_stays_in_time_loses_less() {
    let late = stake(10.0, 1_000);
    let in_time = Stake { in_time: true, ..late };

    assert!(in_time.loss() < late.loss() / 2.0);
}

/// Guards against a few stuck gangs that make all gangs of their queue untouchable for good, and against waits of queues that
/// are no longer there.
#[test]
fn waits_are_bounded_follow_the_load_and_are_forgotten() {
    let mut waits = RestartWaits::default();
    waits.add("gangs", 3_600_000);
    let stuck = waits.expected_ms("gangs");
    for _ in 0..20 {
        waits.add("gangs", 100);
    }
    let calm = waits.expected_ms("gangs");
    waits.retain(|queue| queue != "gangs");

    assert_eq!(stuck, 10_000);
    assert!(calm < 200, "{calm}");
    assert_eq!(waits.expected_ms("gangs"), 0);
}

/// Guards against work that is stopped although a slower endpoint would do, and against one on which the job would be late.
#[test]
fn the_least_speed_follows_from_the_time_that_is_left() {
    assert!((least_speed(2_000.0, 1.0, 6_000) - 0.5).abs() < 1e-9);
    assert!((least_speed(2_000.0, 2.0, 3_000) - 2.0).abs() < 1e-9);
    assert!(least_speed(2_000.0, 1.0, 0).is_infinite());
}
