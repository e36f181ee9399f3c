//! Metrics of `yuccaridge serve`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::{Direction, DirectionLabel, PoolLabel, RequestLabel, StepLabel, StepResult};
use crate::name::PoolName;
use crate::peer::Counts;
use crate::platform::Step;

/// Metrics of an instance of `yuccaridge serve`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    steps: Family<StepLabel, Counter>,
    requests: Family<RequestLabel, Counter>,
    waiting_jobs: Family<PoolLabel, Gauge>,
    peer_messages: Family<DirectionLabel, Counter>,
    peer_bytes: Family<DirectionLabel, Counter>,
    overrun: Counter,
    rejected: Counter,
    call_duration: Histogram,
    held_bytes: Gauge,
    evicted_bodies: Counter,
    refused_bodies: Counter,
    sessions: Gauge,
    ticket: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, with values of zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("yuccaridge"),
            steps: Family::default(),
            requests: Family::default(),
            waiting_jobs: Family::default(),
            peer_messages: Family::default(),
            peer_bytes: Family::default(),
            overrun: Counter::default(),
            rejected: Counter::default(),
            // Buckets from 0.5 ms to 65 s: the target for added latency is 1 ms, the longest call takes 60 s.
            call_duration: Histogram::new(exponential_buckets(0.0005, 2.0, 18)),
            held_bytes: Gauge::default(),
            evicted_bodies: Counter::default(),
            refused_bodies: Counter::default(),
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
            metrics.waiting_jobs.clone(),
        );
        registry.register(
            "peer_messages",
            "Frames between instances",
            metrics.peer_messages.clone(),
        );
        registry.register_with_unit(
            "peer",
            "Frames between instances, without TCP and IP headers",
            Unit::Bytes,
            metrics.peer_bytes.clone(),
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
            metrics.call_duration.clone(),
        );
        registry.register_with_unit(
            "held",
            "Bytes that request bodies hold now",
            Unit::Bytes,
            metrics.held_bytes.clone(),
        );
        registry.register(
            "evicted_bodies",
            "Slow request bodies that gave way to others",
            metrics.evicted_bodies.clone(),
        );
        registry.register(
            "refused_bodies",
            "Request bodies refused for lack of room",
            metrics.refused_bodies.clone(),
        );
        registry.register("sessions", "Live instances known here", metrics.sessions.clone());
        registry.register("ticket", "Number of the ticket in force here", metrics.ticket.clone());
        metrics
    }

    /// Counts an attempt at a life cycle step.
    pub fn count_step(&self, step: Step, result: StepResult) {
        let step = step.as_str();
        self.steps.get_or_create(&StepLabel { step, result }).inc();
    }

    /// Counts an answered API request.
    pub fn count_request(&self, route: &'static str, status: u16) {
        self.requests.get_or_create(&RequestLabel { route, status }).inc();
    }

    /// Records the time from the arrival of a call to its answer.
    pub fn observe_call(&self, took: Duration) {
        self.call_duration.observe(took.as_secs_f64());
    }

    /// Sets the number of bytes that request bodies hold.
    pub fn set_held_bytes(&self, bytes: u64) {
        self.held_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts a slow request body that gave way to others.
    pub fn count_evicted_body(&self) {
        self.evicted_bodies.inc();
    }

    /// Counts a request body that was refused for lack of room.
    pub fn count_refused_body(&self) {
        self.refused_bodies.inc();
    }

    /// Sets the number of jobs waiting in a pool.
    pub fn set_waiting(&self, pool: &PoolName, jobs: usize) {
        let pool = pool.to_string();
        self.waiting_jobs
            .get_or_create(&PoolLabel { pool })
            .set(gauge_value(jobs));
    }

    /// Removes the metrics of a pool that this instance no longer plans.
    pub fn drop_pool(&self, pool: &PoolName) {
        self.waiting_jobs.remove(&PoolLabel { pool: pool.to_string() });
    }

    /// Sets the number of live instances known to this one.
    pub fn set_sessions(&self, live: usize) {
        self.sessions.set(gauge_value(live));
    }

    /// Sets the number of the ticket in force.
    pub fn set_ticket(&self, number: u64) {
        self.ticket.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Copies the counters of the mesh.
    pub fn set_peer_counts(&self, counts: &Counts) {
        let traffic = [
            (Direction::sent, counts.sent),
            (Direction::received, counts.received),
            (Direction::dropped, counts.dropped),
        ];
        for (direction, traffic) in traffic {
            let label = DirectionLabel { direction };
            set_counter(&self.peer_messages.get_or_create(&label), traffic.frames);
            set_counter(&self.peer_bytes.get_or_create(&label), traffic.bytes);
        }
        set_counter(&self.overrun, counts.overrun);
        set_counter(&self.rejected, counts.rejected);
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string fails only if the encoder of a metric fails; the text encoded before that is still valid.
        if text::encode(&mut out, &self.registry).is_err() {
            log::error!("encoding the metrics failed; the text is incomplete");
        }
        out
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn set_counter(counter: &Counter, value: u64) {
    counter.inner().store(value, Ordering::Relaxed);
}
