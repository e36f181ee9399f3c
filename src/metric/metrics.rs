//! The registry.

use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::{Direction, Outgoing, PoolLabel, RequestLabel, StepLabel, StepResult};
use crate::name::PoolName;
use crate::peer::Counts;
use crate::platform::Step;

/// All metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    steps: Family<StepLabel, Counter>,
    requests: Family<RequestLabel, Counter>,
    waiting: Family<PoolLabel, Gauge>,
    messages: Family<Outgoing, Counter>,
    bytes: Family<Outgoing, Counter>,
    overrun: Counter,
    rejected: Counter,
    calls: Histogram,
    sessions: Gauge,
    ticket: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All counts at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("yuccaridge"),
            steps: Family::default(),
            requests: Family::default(),
            waiting: Family::default(),
            messages: Family::default(),
            bytes: Family::default(),
            overrun: Counter::default(),
            rejected: Counter::default(),
            // 0.5 ms to 65 s: the added latency target is 1 ms, the longest call 60 s.
            calls: Histogram::new(exponential_buckets(0.0005, 2.0, 18)),
            sessions: Gauge::default(),
            ticket: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("steps", "Life cycle steps by result", metrics.steps.clone());
        registry.register(
            "requests",
            "Requests by route and HTTP status",
            metrics.requests.clone(),
        );
        registry.register(
            "waiting_jobs",
            "Jobs that wait, by pool planned here",
            metrics.waiting.clone(),
        );
        registry.register("peer_messages", "Frames between instances", metrics.messages.clone());
        registry.register_with_unit(
            "peer",
            "Frames between instances, without TCP and IP headers",
            Unit::Bytes,
            metrics.bytes.clone(),
        );
        registry.register(
            "peer_overrun",
            "Messages lost because this instance did not keep up",
            metrics.overrun.clone(),
        );
        registry.register(
            "peer_rejected",
            "Peer connections closed because of what came on them",
            metrics.rejected.clone(),
        );
        registry.register_with_unit(
            "call_duration",
            "Time from a call's arrival to its answer",
            Unit::Seconds,
            metrics.calls.clone(),
        );
        registry.register("sessions", "Live instances known here", metrics.sessions.clone());
        registry.register("ticket", "Number of the ticket in force here", metrics.ticket.clone());
        metrics
    }

    /// Counts a step.
    pub fn count_step(&self, step: Step, result: StepResult) {
        let step = step.as_str();
        self.steps.get_or_create(&StepLabel { step, result }).inc();
    }

    /// Counts an answered request.
    pub fn count_request(&self, route: &'static str, status: u16) {
        self.requests.get_or_create(&RequestLabel { route, status }).inc();
    }

    /// Records the time that a call took.
    pub fn observe_call(&self, took: Duration) {
        self.calls.observe(took.as_secs_f64());
    }

    /// Sets the number of jobs that wait in a pool.
    pub fn set_waiting(&self, pool: &PoolName, jobs: usize) {
        let pool = pool.to_string();
        self.waiting.get_or_create(&PoolLabel { pool }).set(gauge(jobs));
    }

    /// Forgets a pool that this instance no longer plans.
    pub fn drop_pool(&self, pool: &PoolName) {
        self.waiting.remove(&PoolLabel { pool: pool.to_string() });
    }

    /// Sets the number of live instances.
    pub fn set_sessions(&self, live: usize) {
        self.sessions.set(gauge(live));
    }

    /// Sets the ticket in force.
    pub fn set_ticket(&self, number: u64) {
        self.ticket.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Sets the counts of the mesh.
    pub fn set_peer_counts(&self, counts: &Counts) {
        let traffic = [
            (Direction::sent, counts.sent),
            (Direction::received, counts.received),
            (Direction::dropped, counts.dropped),
        ];
        for (direction, traffic) in traffic {
            let label = Outgoing { direction };
            store(&self.messages.get_or_create(&label), traffic.frames);
            store(&self.bytes.get_or_create(&label), traffic.bytes);
        }
        store(&self.overrun, counts.overrun);
        store(&self.rejected, counts.rejected);
    }

    /// The text for Prometheus.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string fails only if a metric's own encoder does; what was written so far is still valid.
        if text::encode(&mut out, &self.registry).is_err() {
            log::error!("metrics could not be written in full");
        }
        out
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn store(counter: &Counter, value: u64) {
    counter.inner().store(value, Ordering::Relaxed);
}
