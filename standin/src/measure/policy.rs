//! Command `standin measure policy`.

use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use clap::{Args, ValueEnum};

use super::policy_kind::{PolicyKind, WeightProfile};
use super::replay::replay;
use super::scenario::Scenario;
use super::stats::{ReplayStats, Summary};
use super::{plot, report};

/// Weights of the product's policy to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum WeightsChoice {
    /// Weights of Kickerdelar Norden.
    Norden,
    /// Weights of Dakar Paws Alert.
    Dakar,
    /// Both, one after the other.
    Both,
}

/// Compares scheduling policies on generated traces in virtual time.
///
/// Fragmentation is the time-weighted share of the free accelerators that the largest waiting shape cannot use, over
/// the trace's window (12 hours for the two organisations, 3 hours for the other traces); times at which no job waits
/// or nothing is free count as 0. The wait of a large job is all the time from its arrival to its end in which it did
/// not run. Reclaim time is measured for claims within a guarantee that the free accelerators could not meet. Baselines
/// never stop a job, so they violate the guarantee of such claims.
#[derive(Debug, Clone, Args)]
pub struct PolicyArgs {
    /// Scenarios to replay; all if none is given.
    #[arg(long, value_enum)]
    pub scenario: Vec<Scenario>,
    /// Number of seeds.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Weights of the product's policy.
    #[arg(long, value_enum, default_value_t = WeightsChoice::Both)]
    pub weights: WeightsChoice,
    /// Number of concurrent replays.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Print one JSON object per line; the targets go to standard error.
    #[arg(long)]
    pub json: bool,
    /// Draw the comparison into this SVG file.
    #[arg(long, value_name = "FILE.svg")]
    pub plot: Option<PathBuf>,
}

/// Result of one policy in one scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyResult {
    /// Scenario.
    pub scenario: Scenario,
    /// Policy.
    pub policy: PolicyKind,
    /// Number of seeds.
    pub seeds: u64,
    /// Statistics over all seeds.
    pub summary: Summary,
}

impl PolicyArgs {
    fn policies(&self) -> Vec<PolicyKind> {
        let mut all = match self.weights {
            WeightsChoice::Norden => vec![PolicyKind::Product(WeightProfile::Norden)],
            WeightsChoice::Dakar => vec![PolicyKind::Product(WeightProfile::Dakar)],
            WeightsChoice::Both => vec![
                PolicyKind::Product(WeightProfile::Norden),
                PolicyKind::Product(WeightProfile::Dakar),
            ],
        };
        all.extend(PolicyKind::BASELINES);
        all
    }

    /// Runs and summarises all replays.
    pub fn measure(&self) -> Vec<PolicyResult> {
        let scenarios = if self.scenario.is_empty() {
            Scenario::value_variants()
        } else {
            &self.scenario
        };
        let mut results = Vec::new();
        for &scenario in scenarios {
            for policy in self.policies() {
                results.push(PolicyResult {
                    scenario,
                    policy,
                    seeds: self.seeds,
                    summary: Summary::new(&self.replay_all(scenario, policy)),
                });
            }
        }
        results
    }

    /// Runs one replay for each seed; the results are in order of the seeds.
    fn replay_all(&self, scenario: Scenario, policy: PolicyKind) -> Vec<ReplayStats> {
        let next = AtomicUsize::new(0);
        let count = self.seeds as usize;
        let stats = Mutex::new(vec![ReplayStats::default(); count]);
        thread::scope(|scope| {
            for _ in 0..self.threads.clamp(1, count.max(1)) {
                scope.spawn(|| {
                    loop {
                        let i = next.fetch_add(1, Ordering::Relaxed);
                        if i >= count {
                            break;
                        }
                        let seed = self.seed + i as u64;
                        let replay_stats = replay(&scenario.trace(seed), &mut *policy.create(), seed);
                        stats.lock().expect("no replay panics with the lock held")[i] = replay_stats;
                    }
                });
            }
        });
        stats.into_inner().expect("no replay panics with the lock held")
    }

    /// Runs all replays, prints the results and draws the chart.
    pub fn run(&self) -> miette::Result<()> {
        let results = self.measure();
        self.print(&results)
            .map_err(|e| miette::miette!("cannot print the results: {e}"))?;
        if let Some(path) = &self.plot {
            plot::draw(&results, path).map_err(|e| miette::miette!("cannot draw the chart {}: {e}", path.display()))?;
        }
        Ok(())
    }

    fn print(&self, results: &[PolicyResult]) -> io::Result<()> {
        let mut out = io::stdout().lock();
        if self.json {
            report::write_json(results, &mut out)?;
            return report::write_targets(results, &mut io::stderr().lock());
        }
        report::write_table(results, &mut out)?;
        writeln!(out)?;
        report::write_targets(results, &mut out)
    }
}
