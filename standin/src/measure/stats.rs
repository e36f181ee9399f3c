//! What a replay measured, and its summary over all seeds.

use std::collections::BTreeMap;

use yuccaridge::time::Millis;

use super::violation::Violation;

/// Figures of one replay.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Run {
    /// Time from arrival to the end of each completed job.
    pub completions: Vec<Millis>,
    /// Time that each completed large job spent without running.
    pub waits: Vec<Millis>,
    /// Time from claim to start, of claims that had to wait for victims.
    pub reclaims: Vec<Millis>,
    /// Time-weighted share of free accelerators that the largest waiting shape could not use.
    pub fragmentation: f64,
    /// Jobs stopped by the policy.
    pub stops: u64,
    /// Bounds of the completion times of all jobs that no policy is below.
    pub floor: Vec<Millis>,
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
    pub mean: f64,
    /// 95th percentile of completion time, in seconds.
    pub p95: f64,
    /// 95th percentile of the wait of large jobs, in seconds.
    pub wait: f64,
    /// Mean completion time that no policy is below, in seconds.
    pub floor_mean: f64,
    /// The same for the 95th percentile.
    pub floor_p95: f64,
    /// Mean fragmentation.
    pub fragmentation: f64,
    /// 99th percentile of reclaim time, in seconds.
    pub reclaim: f64,
    /// Claims that had to wait for victims.
    pub claims: usize,
    /// Jobs stopped by the policy.
    pub stops: u64,
    /// Broken promises.
    pub violations: BTreeMap<Violation, u64>,
}

impl Summary {
    /// Pools the jobs of all replays.
    pub fn new(runs: &[Run]) -> Self {
        let mut all = Run::default();
        for run in runs {
            all.completions.extend(&run.completions);
            all.waits.extend(&run.waits);
            all.reclaims.extend(&run.reclaims);
            all.floor.extend(&run.floor);
            all.fragmentation += run.fragmentation / runs.len() as f64;
            all.stops += run.stops;
            for (violation, count) in &run.violations {
                *all.violations.entry(*violation).or_default() += count;
            }
        }
        Self {
            mean: mean(&all.completions),
            floor_mean: mean(&all.floor),
            floor_p95: quantile(&mut all.floor, 0.95),
            p95: quantile(&mut all.completions, 0.95),
            wait: quantile(&mut all.waits, 0.95),
            fragmentation: all.fragmentation,
            reclaim: quantile(&mut all.reclaims, 0.99),
            claims: all.reclaims.len(),
            stops: all.stops,
            violations: all.violations,
        }
    }

    /// Number of broken promises of all sorts.
    pub fn broken(&self) -> u64 {
        self.violations.values().sum()
    }
}
