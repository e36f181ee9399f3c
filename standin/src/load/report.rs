//! Report of a load run.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::mix::RequestType;
use super::request_result::FlawKind;
use super::tally::{Flaw, Tally, TypeTally};

/// Statistics of times, in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TimeStats {
    /// Number of samples.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl TimeStats {
    pub(super) fn from_histogram(time_histogram: &Histogram<u64>) -> Self {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let quantile = |quantile: f64| ms(time_histogram.value_at_quantile(quantile));
        Self {
            count: time_histogram.len(),
            mean: time_histogram.mean() / 1000.0,
            p50: quantile(0.5),
            p90: quantile(0.9),
            p95: quantile(0.95),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: ms(time_histogram.max()),
        }
    }
}

impl fmt::Display for TimeStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "mean {:.2}  p50 {:.2}  p90 {:.2}  p95 {:.2}  p99 {:.2}  p99.9 {:.2}  max {:.2} ms",
            self.mean, self.p50, self.p90, self.p95, self.p99, self.p999, self.max
        )
    }
}

/// Results of the requests of one type.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct TypeReport {
    /// Number of requests by outcome; refusals by error code.
    pub outcomes: BTreeMap<String, u64>,
    /// Time from due time to complete answer, for the requests that completed.
    pub completed: TimeStats,
    /// Time from due time to acceptance, for batch jobs.
    pub accepted: TimeStats,
}

impl From<&TypeTally> for TypeReport {
    fn from(tally: &TypeTally) -> Self {
        Self {
            outcomes: tally.outcomes.clone(),
            completed: TimeStats::from_histogram(&tally.completed),
            accepted: TimeStats::from_histogram(&tally.accepted),
        }
    }
}

/// Report of a load run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the run; prefix of all job ids.
    pub run: String,
    /// Seed of the random choices.
    pub seed: u64,
    /// Requests due per second.
    pub rate: f64,
    /// Requests sent per second.
    #[serde(rename = "reached")]
    pub achieved_rate: f64,
    /// Number of requests that ended.
    pub requests: u64,
    /// Time from due time until a thread was free to send the request.
    pub lateness: TimeStats,
    /// Results by type of request.
    #[serde(rename = "sorts")]
    pub by_type: BTreeMap<RequestType, TypeReport>,
    /// Message of the first refusal with each error code.
    pub refusals: BTreeMap<String, String>,
    /// Number of flaws by kind.
    pub flaw_counts: BTreeMap<FlawKind, u64>,
    /// Details of the first flaws.
    pub flaws: Vec<Flaw>,
}

impl LoadReport {
    pub(super) fn fill(&mut self, tally: &Tally) {
        self.requests = tally.ended;
        self.by_type = tally
            .by_type
            .iter()
            .map(|(request_type, tally)| (*request_type, tally.into()))
            .collect();
        self.refusals.clone_from(&tally.refusals);
        self.flaw_counts.clone_from(&tally.flaw_counts);
        self.flaws.clone_from(&tally.flaws);
    }

    /// Whether no answer was wrong or missing.
    pub fn is_clean(&self) -> bool {
        self.flaw_counts.is_empty()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "run {}, seed {}", self.run, self.seed)?;
        writeln!(
            f,
            "{} requests, {:.1}/s due, {:.1}/s sent",
            self.requests, self.rate, self.achieved_rate
        )?;
        writeln!(f, "sent late by: {}", self.lateness)?;
        for (request_type, report) in &self.by_type {
            writeln!(f, "{request_type:?}")?;
            for (outcome, count) in &report.outcomes {
                writeln!(f, "  {outcome}: {count}")?;
            }
            writeln!(f, "  completed in: {}", report.completed)?;
            if report.accepted.count > 0 {
                writeln!(f, "  accepted in: {}", report.accepted)?;
            }
        }
        for (refusal, message) in &self.refusals {
            writeln!(f, "{refusal}: {message}")?;
        }
        for (kind, count) in &self.flaw_counts {
            writeln!(f, "{kind:?} answers: {count}")?;
        }
        for flaw in &self.flaws {
            writeln!(f, "  {}: {:?}, {}", flaw.id, flaw.kind, flaw.detail)?;
        }
        Ok(())
    }
}
