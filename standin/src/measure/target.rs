//! Targets for the product's policy, from section 3 of the design page. They were set before the first measurement.

use super::policy::PolicyResult;
use super::policy_kind::{PolicyKind, WeightProfile};
use super::scenario::Scenario;
use super::stats::Summary;

/// Target for the 99th percentile of reclaim time, in seconds.
const RECLAIM_MAX_S: f64 = 2.6;

/// A target with the measured value.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Scenario, weights and metric.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Greatest value that meets the target.
    pub max: f64,
    /// Lower bound of the value for any policy; 0 if none is known.
    pub lower_bound: f64,
}

impl Target {
    /// Whether the target is met.
    pub fn is_met(&self) -> bool {
        self.value <= self.max
    }
}

/// Least value of a metric among the baselines of a scenario.
fn best_baseline(results: &[PolicyResult], scenario: Scenario, metric: fn(&Summary) -> f64) -> f64 {
    let mut least = f64::INFINITY;
    for result in results {
        if result.scenario == scenario && !matches!(result.policy, PolicyKind::Product(_)) {
            least = least.min(metric(&result.summary));
        }
    }
    least
}

/// Evaluates the targets of all results of the product's policy. The targets of a weight profile apply to its
/// organisation's trace and to the traces of faults and bursts, not to the other organisation's trace. The measure is
/// the best baseline in each metric separately.
pub fn targets(results: &[PolicyResult]) -> Vec<Target> {
    let mut targets = Vec::new();
    for result in results {
        let PolicyKind::Product(profile) = result.policy else {
            continue;
        };
        let mut add = |metric: &str, value, max, lower_bound| {
            let name = format!("{} {} {metric}", result.scenario.name(), profile.name());
            targets.push(Target {
                name,
                value,
                max,
                lower_bound,
            });
        };
        let s = &result.summary;
        if profile == WeightProfile::Norden && result.scenario != Scenario::Dakar {
            let max = 0.5 * best_baseline(results, result.scenario, |s| s.fragmentation);
            add("fragmentation", s.fragmentation, max, 0.0);
            let max = 0.5 * best_baseline(results, result.scenario, |s| s.large_wait_p95_s);
            add("large_wait_p95_s", s.large_wait_p95_s, max, 0.0);
        }
        if profile == WeightProfile::Dakar && result.scenario != Scenario::Norden {
            let max = 0.7 * best_baseline(results, result.scenario, |s| s.mean_completion_s);
            add("mean_completion_s", s.mean_completion_s, max, s.min_mean_completion_s);
            let max = 0.7 * best_baseline(results, result.scenario, |s| s.p95_completion_s);
            add("p95_completion_s", s.p95_completion_s, max, s.min_p95_completion_s);
        }
        add("reclaim_p99_s", s.reclaim_p99_s, RECLAIM_MAX_S, 0.0);
        add("violations", s.violation_count() as f64, 0.0, 0.0);
    }
    targets
}
