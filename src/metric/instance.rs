//! Metrics of `yuccaridge-instance`, which schedules job graphs.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::ConnectionMetrics;

/// Labels of an answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabel {
    /// Operation of the API.
    pub call: &'static str,
    /// `served`, or the reason for the denial.
    pub answer: String,
}

/// Labels of an offer of a submission to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OfferLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
    /// What became of the submission at the other instance, or at this one if the offer was received.
    pub fate: &'static str,
}

/// Label for the end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Outcome of the run, or reason why it was stopped.
    pub reason: String,
}

/// Label for an activity of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ActivityLabel {
    /// Activity: `round`, `report`, `answer`, `commit` or `feed`.
    pub activity: &'static str,
}

/// Metrics of `yuccaridge-instance`.
#[derive(Debug)]
pub struct InstanceMetrics {
    registry: Registry,
    /// Connections of callers.
    pub connections: ConnectionMetrics,
    answers: Family<AnswerLabel, Counter>,
    answer_time: Histogram,
    offers: Family<OfferLabel, Counter>,
    activity_time: Family<ActivityLabel, Histogram>,
    job_read_delay: Histogram,
    /// Ends of runs by outcome or by the reason for the stop, while this instance was the leader.
    pub run_ends: Family<ReasonLabel, Counter>,
    /// Ends `done` that matched no expected run, by the reason.
    unmatched_done: Family<ReasonLabel, Counter>,
    /// Starts that the dispatcher decided, whether or not they succeeded.
    pub starts: Counter,
    /// Claims for urgent units, whether or not they were met.
    pub claims: Counter,
    /// Claims that were dropped because they could not be met in time.
    pub claims_dropped: Counter,
    /// Units that were stopped for an urgent one and had been given up before.
    pub repeated_stops: Counter,
    /// Requests for advice that failed or had no answer in time.
    pub advice_failed: Counter,
    /// Answers with tickets that started no task before advice was requested again.
    pub advice_unused: Counter,
    /// Starts that endpoints refused because of their ticket.
    pub tickets_refused: Counter,
    advice_time: Histogram,
    /// Jobs that are queued.
    pub jobs_waiting: Gauge,
    /// Jobs that are running.
    pub jobs_running: Gauge,
    /// Pairs of kinds of tasks of which one slows the other down.
    pub interfering_pairs: Gauge,
    /// Endpoints that large tasks need at their usual peaks.
    pub large_task_peak: Gauge,
    /// Endpoints that accept new work.
    pub endpoints_open: Gauge,
    /// Failure domains that the operator has closed.
    pub domains_closed: Gauge,
    /// Start and stop orders whose result is unknown.
    pub orders_in_doubt: Gauge,
    /// Jobs whose changes are not stored yet, while this instance is the leader.
    pub jobs_unstored: Gauge,
    /// Time since the last transaction that confirmed leadership was sent, in milliseconds; 0 on other instances.
    pub lead_confirmed_age_ms: Gauge,
    /// Fencing token while this instance is the leader, else 0.
    pub fence: Gauge,
    /// Time since the store last confirmed the configuration, in milliseconds; -1 before the first confirmation.
    pub config_age_ms: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
}

impl Default for InstanceMetrics {
    fn default() -> Self {
        // Buckets from 1 ms to 16 s: a request to the store takes 4 ms, the longest deadline is some seconds.
        let answer_time = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let mut metrics = Self {
            registry: Registry::with_prefix("yuccaridge"),
            connections: ConnectionMetrics::default(),
            answers: Family::default(),
            answer_time,
            offers: Family::default(),
            activity_time: Family::new_with_constructor(activity_histogram),
            // Buckets from 1 ms to 16 s: a feed takes some milliseconds, a takeover some seconds.
            job_read_delay: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
            run_ends: Family::default(),
            unmatched_done: Family::default(),
            starts: Counter::default(),
            claims: Counter::default(),
            claims_dropped: Counter::default(),
            repeated_stops: Counter::default(),
            advice_failed: Counter::default(),
            advice_unused: Counter::default(),
            tickets_refused: Counter::default(),
            // Buckets from 10 ms to 82 s: the service may have 32 calls before this one, each of a second or more.
            advice_time: Histogram::new(exponential_buckets(0.01, 2.0, 14)),
            jobs_waiting: Gauge::default(),
            jobs_running: Gauge::default(),
            endpoints_open: Gauge::default(),
            interfering_pairs: Gauge::default(),
            large_task_peak: Gauge::default(),
            domains_closed: Gauge::default(),
            orders_in_doubt: Gauge::default(),
            jobs_unstored: Gauge::default(),
            lead_confirmed_age_ms: Gauge::default(),
            fence: Gauge::default(),
            config_age_ms: Gauge::default(),
            config_version: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        metrics.connections.register(registry);
        metrics.register_answers();
        let registry = &mut metrics.registry;
        registry.register_with_unit(
            "activity_time",
            "Time of single activities of the leader",
            Unit::Seconds,
            metrics.activity_time.clone(),
        );
        registry.register_with_unit(
            "job_read_delay",
            "Time from the acceptance of a job until the leader reads it",
            Unit::Seconds,
            metrics.job_read_delay.clone(),
        );
        registry.register(
            "jobs_unstored",
            "Jobs whose changes the leader has not stored yet",
            metrics.jobs_unstored.clone(),
        );
        registry.register(
            "lead_confirmed_age_ms",
            "Age of the last confirmation of the lead, milliseconds",
            metrics.lead_confirmed_age_ms.clone(),
        );
        registry.register(
            "run_ends",
            "Ends of runs, by outcome or reason",
            metrics.run_ends.clone(),
        );
        registry.register(
            "unmatched_done",
            "Successful ends of runs that were not expected, by reason",
            metrics.unmatched_done.clone(),
        );
        registry.register("starts", "Starts that were decided", metrics.starts.clone());
        registry.register("claims", "Claims for urgent units", metrics.claims.clone());
        registry.register(
            "claims_dropped",
            "Claims for urgent units that were not met in time",
            metrics.claims_dropped.clone(),
        );
        registry.register(
            "repeated_stops",
            "Units stopped for an urgent one that had been given up before",
            metrics.repeated_stops.clone(),
        );
        metrics.register_advice();
        metrics.register_work();
        let registry = &mut metrics.registry;
        registry.register(
            "fence",
            "Fencing token of the lead, 0 without it",
            metrics.fence.clone(),
        );
        metrics.register_config();
        metrics
    }
}

/// Buckets from 16 us to 0.5 s; a round of a large fleet takes about a millisecond.
fn activity_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_016, 2.0, 16))
}

impl InstanceMetrics {
    /// Registers the metrics of what callers were answered.
    fn register_answers(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register_with_unit(
            "answer_time",
            "Time to answer a caller",
            Unit::Seconds,
            self.answer_time.clone(),
        );
        registry.register(
            "offers",
            "Submissions offered to another instance, by outcome",
            self.offers.clone(),
        );
    }

    /// Registers the metrics of requests to the advice service.
    fn register_advice(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "advice_time",
            "Time from a request for advice to its answer",
            Unit::Seconds,
            self.advice_time.clone(),
        );
        registry.register(
            "advice_failed",
            "Requests for advice without a usable answer",
            self.advice_failed.clone(),
        );
        registry.register(
            "advice_unused",
            "Answers with tickets that started no task before advice was requested again",
            self.advice_unused.clone(),
        );
        registry.register(
            "tickets_refused",
            "Starts that endpoints refused because of their ticket",
            self.tickets_refused.clone(),
        );
    }

    /// Registers the gauges of what the leader has under way.
    fn register_work(&mut self) {
        let registry = &mut self.registry;
        registry.register("jobs_waiting", "Jobs that have not begun", self.jobs_waiting.clone());
        registry.register("jobs_running", "Jobs that have begun", self.jobs_running.clone());
        registry.register(
            "interfering_pairs",
            "Pairs of kinds of tasks that are kept apart",
            self.interfering_pairs.clone(),
        );
        registry.register(
            "large_task_peak",
            "Endpoints that large tasks need at their usual peaks",
            self.large_task_peak.clone(),
        );
        registry.register(
            "endpoints_open",
            "Endpoints that take work",
            self.endpoints_open.clone(),
        );
        registry.register(
            "orders_in_doubt",
            "Orders without an answer",
            self.orders_in_doubt.clone(),
        );
    }

    /// Registers the metrics of what the operator has set.
    fn register_config(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "config_age_ms",
            "Age of the configuration, milliseconds",
            self.config_age_ms.clone(),
        );
        registry.register("config_version", "Configuration in force", self.config_version.clone());
        registry.register(
            "domains_closed",
            "Failure domains that the operator has closed",
            self.domains_closed.clone(),
        );
    }

    /// Counts an answer to a caller and records the time that it took.
    pub fn record_answer(&self, call: &'static str, answer: String, time: Duration) {
        self.answers.get_or_create(&AnswerLabel { call, answer }).inc();
        self.answer_time.observe(time.as_secs_f64());
    }

    /// Counts a submission that was offered to another instance or by it.
    pub fn record_offer(&self, direction: &'static str, fate: &'static str) {
        self.offers.get_or_create(&OfferLabel { direction, fate }).inc();
    }

    /// Records how long one activity of the leader took.
    pub fn record_activity(&self, activity: &'static str, time: Duration) {
        self.activity_time
            .get_or_create(&ActivityLabel { activity })
            .observe(time.as_secs_f64());
    }

    /// Records how long after its acceptance the leader read a job.
    pub fn record_job_read(&self, delay: Duration) {
        self.job_read_delay.observe(delay.as_secs_f64());
    }

    /// Records how long the advice service took to answer.
    pub fn record_advice(&self, time: Duration) {
        self.advice_time.observe(time.as_secs_f64());
    }

    /// Counts `count` ends of runs with the same reason.
    pub fn count_run_ends(&self, reason: &str, count: u64) {
        let reason = reason.to_owned();
        self.run_ends.get_or_create(&ReasonLabel { reason }).inc_by(count);
    }

    /// Counts `count` successful ends that matched no expected run for the same reason.
    pub fn count_unmatched_done(&self, reason: &str, count: u64) {
        let reason = reason.to_owned();
        self.unmatched_done.get_or_create(&ReasonLabel { reason }).inc_by(count);
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut out = String::new();
        if let Err(error) = text::encode(&mut out, &self.registry) {
            log::error!(error:% = error; "encoding the metrics failed");
        }
        out
    }
}
