//! Metrics in the text format of Prometheus.

use std::time::Duration;

use yuccaridge::metric::{Metrics, StepResult};
use yuccaridge::name::PoolName;
use yuccaridge::peer::{Counts, Traffic};
use yuccaridge::platform::Step;

/// Guards against renamed metrics, which break the operators' dashboards, and against a missing unit.
#[test]
fn names_and_units_are_stable() {
    let metrics = Metrics::new();
    let pool = PoolName::new("night").expect("name");
    metrics.count_step(Step::Place, StepResult::ok);
    metrics.count_step(Step::Place, StepResult::conflict);
    metrics.count_request("submit", 429);
    metrics.observe_call(Duration::from_millis(3));
    metrics.set_waiting(&pool, 5);
    metrics.set_held_bytes(4096);
    metrics.count_evicted_body();
    metrics.count_refused_body();
    metrics.set_sessions(9);
    metrics.set_ticket(4711);
    metrics.set_peer_counts(&Counts {
        sent: Traffic { frames: 2, bytes: 90 },
        rejected: 1,
        ..Counts::default()
    });
    let text = metrics.text();
    for line in [
        "yuccaridge_steps_total{step=\"place\",result=\"conflict\"} 1",
        "yuccaridge_requests_total{route=\"submit\",status=\"429\"} 1",
        "# UNIT yuccaridge_call_duration_seconds seconds",
        "yuccaridge_call_duration_seconds_bucket{le=\"0.004\"} 1",
        "yuccaridge_waiting_jobs{pool=\"night\"} 5",
        "yuccaridge_held_bytes 4096",
        "yuccaridge_evicted_bodies_total 1",
        "yuccaridge_refused_bodies_total 1",
        "yuccaridge_sessions 9",
        "yuccaridge_ticket 4711",
        "yuccaridge_peer_messages_total{direction=\"sent\"} 2",
        "yuccaridge_peer_bytes_total{direction=\"sent\"} 90",
        "yuccaridge_peer_rejected_total 1",
        "# EOF",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
}

/// Guards against metrics of a pool that remain after another instance has taken over its planning.
#[test]
fn metrics_of_a_removed_pool_are_dropped() {
    let metrics = Metrics::new();
    let pool = PoolName::new("night").expect("name");
    metrics.set_waiting(&pool, 5);
    metrics.drop_pool(&pool);
    assert!(!metrics.text().contains("night"));
}
