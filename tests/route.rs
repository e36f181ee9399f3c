//! Routing of calls: shares of the slots, failing endpoints and the retry budget.

use std::collections::BTreeMap;

use yuccaridge::name::EndpointName;
use yuccaridge::route::{Backend, CallResult, Router};
use yuccaridge::time::Millis;

const NOW: Millis = Millis(1_000);

fn endpoint_name(i: usize) -> EndpointName {
    EndpointName::new(format!("w{i:02}")).unwrap()
}

fn backend(i: usize) -> Backend {
    Backend {
        name: endpoint_name(i),
        slots: 8,
        connections: 60,
        open: true,
    }
}

fn router(endpoints: usize, instances: usize) -> Router {
    let mut router = Router::new(7);
    router.set_endpoints((0..endpoints).map(backend));
    router.set_instances(instances);
    router
}

fn fill_slots(router: &mut Router) -> usize {
    let mut picked = 0;
    while router.pick(NOW, &[]).is_some() {
        picked += 1;
    }
    picked
}

/// Guards against an instance that uses the slots of the others.
#[test]
fn instance_keeps_to_its_share_without_a_report() {
    for (instances, share) in [(1, 8), (4, 2), (8, 1), (9, 1), (100, 1)] {
        assert_eq!(
            fill_slots(&mut router(3, instances)),
            3 * share,
            "{instances} instances"
        );
    }
}

/// Guards against a share that ignores the endpoint's reports: free slots stay unused, or a full endpoint gets more.
#[test]
fn report_corrects_the_share() {
    let mut idle = router(1, 4);
    idle.record_report(NOW, &endpoint_name(0), 0);
    idle.pick(NOW, &[]).unwrap();
    idle.pick(NOW, &[]).unwrap();
    idle.record_report(NOW, &endpoint_name(0), 2);
    assert_eq!(
        fill_slots(&mut idle),
        2,
        "two own calls and a quarter of six free slots"
    );

    let mut full = router(1, 9);
    full.record_report(NOW, &endpoint_name(0), 8);
    assert_eq!(full.pick(NOW, &[]), None);
    let later = NOW + Millis(6_000);
    assert!(full.pick(later, &[]).is_some(), "an old report is no longer used");
}

/// Guards against more connections from all instances than an endpoint accepts.
#[test]
fn connections_are_divided_among_instances() {
    let mut router = Router::new(1);
    let scarce = Backend {
        connections: 9,
        ..backend(0)
    };
    router.set_endpoints([scarce]);
    router.set_instances(3);
    router.record_report(NOW, &endpoint_name(0), 0);
    assert_eq!(router.connection_limit(&endpoint_name(0)), 3);
    assert_eq!(fill_slots(&mut router), 3);
}

/// Guards against new calls to an endpoint that is leaving, and against a wrong count of the calls that it still runs.
#[test]
fn closed_endpoint_gets_no_calls_and_keeps_its_count() {
    let mut router = router(2, 8);
    assert_eq!(fill_slots(&mut router), 2);
    let closed = Backend {
        open: false,
        ..backend(0)
    };
    router.set_endpoints([closed, backend(1)]);
    router.finish_call(NOW, &endpoint_name(1), CallResult::Answered, Millis(5));
    assert_eq!(router.pick(NOW, &[]), Some(endpoint_name(1)));
    assert_eq!(router.pick(NOW, &[]), None);

    router.set_endpoints([backend(1)]);
    assert_eq!(router.calls_in_flight(&endpoint_name(0)), 1);
    router.set_endpoints([backend(0), backend(1)]);
    assert_eq!(router.pick(NOW, &[]), None, "its slot is still taken");
    router.finish_call(NOW, &endpoint_name(0), CallResult::Answered, Millis(5));
    assert_eq!(router.pick(NOW, &[]), Some(endpoint_name(0)));
}

/// Guards against a failing endpoint that attracts calls because it ends them quickly.
#[test]
fn failing_endpoint_gets_no_calls_for_growing_pauses() {
    let mut router = router(1, 1);
    let mut now = NOW;
    for pause in [100, 200, 400, 800] {
        let endpoint = router.pick(now, &[]).unwrap();
        assert_eq!(router.pick(now, &[]).is_some(), pause == 100, "one probe at a time");
        router.finish_call(now, &endpoint, CallResult::Unreachable, Millis(1));
        if pause == 100 {
            router.finish_call(now, &endpoint, CallResult::Abandoned, Millis(1));
        }
        assert_eq!(router.pick(now + Millis(pause - 1), &[]), None);
        now = now + Millis(pause);
    }
    let endpoint = router.pick(now, &[]).unwrap();
    router.finish_call(now, &endpoint, CallResult::Answered, Millis(1));
    assert!(router.pick(now, &[]).is_some() && router.pick(now, &[]).is_some());
}

/// Guards against a retry on the endpoint that has just failed the call.
#[test]
fn avoided_endpoint_is_not_picked() {
    let mut router = router(2, 1);
    for _ in 0..8 {
        assert_eq!(router.pick(NOW, &[endpoint_name(0)]), Some(endpoint_name(1)));
    }
    assert_eq!(router.pick(NOW, &[endpoint_name(0)]), None);
}

/// Guards against retries that multiply the load of a fleet that fails everything.
#[test]
fn retries_stay_at_a_tenth_of_the_calls() {
    let mut router = router(50, 1);
    let mut retries = 0;
    for _ in 0..2_000 {
        let endpoint = router.pick(NOW, &[]).unwrap();
        router.finish_call(NOW, &endpoint, CallResult::Answered, Millis(5));
        if !router.take_retry_token(NOW) {
            continue;
        }
        retries += 1;
        let endpoint = router.pick(NOW, &[]).unwrap();
        router.finish_call(NOW, &endpoint, CallResult::Answered, Millis(5));
    }
    assert!((195..=202).contains(&retries), "{retries} retries");
    let quiet = NOW + Millis(10_000);
    assert!(
        router.take_retry_token(quiet),
        "the minimum allows a retry after a quiet time"
    );
}

/// Guards against routing by count alone: endpoints of different speed would end up with different queues.
#[test]
fn faster_endpoint_gets_more_calls() {
    let mut router = router(8, 1);
    let mut counts = BTreeMap::new();
    for _ in 0..4_000 {
        let endpoint = router.pick(NOW, &[]).unwrap();
        let fast = endpoint < endpoint_name(4);
        router.finish_call(NOW, &endpoint, CallResult::Answered, Millis(if fast { 10 } else { 40 }));
        *counts.entry(fast).or_insert(0) += 1;
    }
    assert!(counts[&true] > 3 * counts[&false], "{counts:?}");
}

/// Guards against second copies of calls of ordinary duration, and against no second copies at all.
#[test]
fn hedge_delay_follows_the_slowest_calls() {
    let mut router = router(4, 1);
    assert_eq!(router.hedge_delay(), None);
    for i in 0..4_000 {
        let endpoint = router.pick(NOW, &[]).unwrap();
        let slow = i % 50 == 0;
        router.finish_call(
            NOW,
            &endpoint,
            CallResult::Answered,
            Millis(if slow { 500 } else { 10 + i % 40 }),
        );
    }
    let delay = router.hedge_delay().unwrap();
    assert!((45..=60).contains(&delay.0), "{delay}");
}
