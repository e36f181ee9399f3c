//! What a replay measured, and its summary over all seeds.

use std::collections::BTreeMap;

use yuccaridge::time::Millis;

use super::violation::Violation;

/// Figures of one replay.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ReplayStats {
    /// Time from arrival to the end of each completed job.
    pub completion_times: Vec<Millis>,
    /// Time that each completed large job spent without running.
    pub large_job_waits: Vec<Millis>,
    /// Time from claim to start, of claims that had to wait for victims.
    pub reclaim_times: Vec<Millis>,
    /// Time-weighted share of free accelerators that the largest waiting shape could not use.
    pub fragmentation: f64,
    /// Jobs stopped by the policy.
    pub stops: u64,
    /// Bounds of the completion times of all jobs that no policy is below.
    pub min_completion_times: Vec<Millis>,
    /// Broken promises.
    pub violations: BTreeMap<Violation, u64>,
    /// When the last job ended.
    pub end: Millis,
}

/// Nearest-rank quantile in seconds; 0 of nothing.
pub fn quantile(spans: &mut [Millis], q: f64) -> f64 {
    if spans.is_empty() {
        return 0.0;
    }
    spans.sort_unstable();
    let rank = (q * spans.len() as f64).ceil() as usize;
    spans[rank.clamp(1, spans.len()) - 1].as_secs_f64()
}

fn mean(spans: &[Millis]) -> f64 {
    let total: f64 = spans.iter().map(|span| span.as_secs_f64()).sum();
    total / spans.len().max(1) as f64
}

/// Figures over all seeds.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Summary {
    /// Mean completion time, in seconds.
    pub mean_completion_s: f64,
    /// 95th percentile of completion time, in seconds.
    pub p95_completion_s: f64,
    /// 95th percentile of the wait of large jobs, in seconds.
    pub large_wait_p95_s: f64,
    /// Mean completion time that no policy is below, in seconds.
    pub min_mean_completion_s: f64,
    /// The same for the 95th percentile.
    pub min_p95_completion_s: f64,
    /// Mean fragmentation.
    pub fragmentation: f64,
    /// 99th percentile of reclaim time, in seconds.
    pub reclaim_p99_s: f64,
    /// Claims that had to wait for victims.
    pub reclaims: usize,
    /// Jobs stopped by the policy.
    pub stops: u64,
    /// Broken promises.
    pub violations: BTreeMap<Violation, u64>,
}

impl Summary {
    /// Pools the jobs of all replays.
    pub fn new(replays: &[ReplayStats]) -> Self {
        let mut all = ReplayStats::default();
        for replay in replays {
            all.completion_times.extend(&replay.completion_times);
            all.large_job_waits.extend(&replay.large_job_waits);
            all.reclaim_times.extend(&replay.reclaim_times);
            all.min_completion_times.extend(&replay.min_completion_times);
            all.fragmentation += replay.fragmentation / replays.len() as f64;
            all.stops += replay.stops;
            for (violation, count) in &replay.violations {
                *all.violations.entry(*violation).or_default() += count;
            }
        }
        Self {
            mean_completion_s: mean(&all.completion_times),
            min_mean_completion_s: mean(&all.min_completion_times),
            min_p95_completion_s: quantile(&mut all.min_completion_times, 0.95),
            p95_completion_s: quantile(&mut all.completion_times, 0.95),
            large_wait_p95_s: quantile(&mut all.large_job_waits, 0.95),
            fragmentation: all.fragmentation,
            reclaim_p99_s: quantile(&mut all.reclaim_times, 0.99),
            reclaims: all.reclaim_times.len(),
            stops: all.stops,
            violations: all.violations,
        }
    }

    /// Number of broken promises of all sorts.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }
}
