//! Statistics of a replay, and their summary over all seeds.

use std::collections::BTreeMap;

use yuccaridge::time::Millis;

use super::violation::Violation;

/// Statistics of one replay.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ReplayStats {
    /// Time from arrival to end of each completed job, and to the end of the replay of each unfinished one.
    pub completion_times: Vec<Millis>,
    /// Time that each large job spent without running; the age of those that did not finish.
    pub large_job_waits: Vec<Millis>,
    /// Time from claim to start, for claims that had to wait until other jobs were stopped.
    pub reclaim_times: Vec<Millis>,
    /// Time-weighted share of the free accelerators that the largest waiting shape could not use.
    pub fragmentation: f64,
    /// Jobs stopped by the policy.
    pub stops: u64,
    /// Lower bounds of the completion times for any policy.
    pub min_completion_times: Vec<Millis>,
    /// Number of violations of each kind.
    pub violations: BTreeMap<Violation, u64>,
    /// End of the replay.
    pub end: Millis,
}

/// Nearest-rank quantile, in seconds; 0 if there are no values.
pub fn quantile(values: &mut [Millis], q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable();
    let rank = (q * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1].as_secs_f64()
}

fn mean(values: &[Millis]) -> f64 {
    let total: f64 = values.iter().map(|value| value.as_secs_f64()).sum();
    total / values.len().max(1) as f64
}

/// Statistics over all seeds.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Summary {
    /// Mean completion time, in seconds.
    pub mean_completion_s: f64,
    /// 95th percentile of completion time, in seconds.
    pub p95_completion_s: f64,
    /// 95th percentile of the wait of large jobs, in seconds.
    pub large_wait_p95_s: f64,
    /// Lower bound of the mean completion time for any policy, in seconds.
    pub min_mean_completion_s: f64,
    /// Lower bound of the 95th percentile of completion time for any policy, in seconds.
    pub min_p95_completion_s: f64,
    /// Mean fragmentation of the replays.
    pub fragmentation: f64,
    /// 99th percentile of reclaim time, in seconds.
    pub reclaim_p99_s: f64,
    /// Number of claims that had to wait until other jobs were stopped.
    pub reclaims: usize,
    /// Jobs stopped by the policy.
    pub stops: u64,
    /// Number of violations of each kind.
    pub violations: BTreeMap<Violation, u64>,
}

impl Summary {
    /// Summarises replays; percentiles are over the jobs of all of them.
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

    /// Number of violations of all kinds.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }
}
