//! The result of a load run.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::mix::Sort;
use super::request_result::FlawSort;
use super::tally::{Flaw, SortTally, Tally};

/// Times in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// Number of times.
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
    /// Longest.
    pub max: f64,
}

impl Times {
    pub(super) fn of(times: &Histogram<u64>) -> Self {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let quantile = |quantile: f64| ms(times.value_at_quantile(quantile));
        Self {
            count: times.len(),
            mean: times.mean() / 1000.0,
            p50: quantile(0.5),
            p90: quantile(0.9),
            p95: quantile(0.95),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: ms(times.max()),
        }
    }
}

impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "mean {:.2}  p50 {:.2}  p90 {:.2}  p95 {:.2}  p99 {:.2}  p99.9 {:.2}  max {:.2} ms",
            self.mean, self.p50, self.p90, self.p95, self.p99, self.p999, self.max
        )
    }
}

/// What became of one sort of request.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct SortReport {
    /// Number of requests by outcome, or by the code of the refusal.
    pub outcomes: BTreeMap<String, u64>,
    /// From when a request was due to its whole answer, of those that completed.
    pub completed: Times,
    /// From when a batch job was due to its acceptance.
    pub accepted: Times,
}

impl From<&SortTally> for SortReport {
    fn from(tally: &SortTally) -> Self {
        Self {
            outcomes: tally.outcomes.clone(),
            completed: Times::of(&tally.completed),
            accepted: Times::of(&tally.accepted),
        }
    }
}

/// The result of a load run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start of all ids.
    pub run: String,
    /// Seed of all choices.
    pub seed: u64,
    /// Requests a second that were due.
    pub rate: f64,
    /// Requests a second that were sent.
    pub reached: f64,
    /// Requests.
    pub requests: u64,
    /// From when a request was due to when a thread was free to send it.
    pub lateness: Times,
    /// By sort.
    pub sorts: BTreeMap<Sort, SortReport>,
    /// First sentence of each refusal, by code.
    pub refusals: BTreeMap<String, String>,
    /// Number of flaws.
    pub flaw_counts: BTreeMap<FlawSort, u64>,
    /// The first flaws.
    pub flaws: Vec<Flaw>,
}

impl LoadReport {
    pub(super) fn fill(&mut self, tally: &Tally) {
        self.requests = tally.ended;
        self.sorts = tally.sorts.iter().map(|(sort, tally)| (*sort, tally.into())).collect();
        self.refusals.clone_from(&tally.refusals);
        self.flaw_counts.clone_from(&tally.flaw_counts);
        self.flaws.clone_from(&tally.flaws);
    }

    /// Whether every answer came and was right.
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
            self.requests, self.rate, self.reached
        )?;
        writeln!(f, "sent late by: {}", self.lateness)?;
        for (sort, report) in &self.sorts {
            writeln!(f, "{sort:?}")?;
            for (outcome, count) in &report.outcomes {
                writeln!(f, "  {outcome}: {count}")?;
            }
            writeln!(f, "  completed in: {}", report.completed)?;
            if report.accepted.count > 0 {
                writeln!(f, "  accepted in: {}", report.accepted)?;
            }
        }
        for (refusal, sentence) in &self.refusals {
            writeln!(f, "{refusal}: {sentence}")?;
        }
        for (sort, count) in &self.flaw_counts {
            writeln!(f, "{sort:?} answers: {count}")?;
        }
        for flaw in &self.flaws {
            writeln!(f, "  {}: {:?}, {}", flaw.id, flaw.sort, flaw.detail)?;
        }
        Ok(())
    }
}
