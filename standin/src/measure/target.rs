//! Targets that were set before anything was measured (section 3 of the design page).

use super::policy::PolicyResult;
use super::policy_kind::{PolicyKind, WeightProfile};
use super::scenario::Scenario;
use super::stats::Summary;

/// Bound of the 99th percentile of reclaim time, in seconds.
const RECLAIM_MAX_S: f64 = 2.6;

/// A target with what was measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Scenario, weights and figure.
    pub name: String,
    /// Measured.
    pub value: f64,
    /// Greatest value that holds the target.
    pub max: f64,
    /// Value that no policy is below, if one is known.
    pub lower_bound: f64,
}

impl Target {
    /// Whether it is held.
    pub fn held(&self) -> bool {
        self.value <= self.max
    }
}

fn best(results: &[PolicyResult], scenario: Scenario, figure: fn(&Summary) -> f64) -> f64 {
    let mut best = f64::INFINITY;
    for result in results {
        if result.scenario == scenario && !matches!(result.policy, PolicyKind::Product(_)) {
            best = best.min(figure(&result.summary));
        }
    }
    best
}

/// All targets that the results allow to judge. A profile's targets are judged on its own trace and on the traces of faults
/// and bursts, against the best baseline in each figure by itself.
pub fn targets(results: &[PolicyResult]) -> Vec<Target> {
    let mut targets = Vec::new();
    for result in results {
        let PolicyKind::Product(profile) = result.policy else {
            continue;
        };
        let mut add = |figure: &str, value, max, lower_bound| {
            let name = format!("{} {} {figure}", result.scenario.name(), profile.name());
            targets.push(Target {
                name,
                value,
                max,
                lower_bound,
            });
        };
        let s = &result.summary;
        if profile == WeightProfile::Norden && result.scenario != Scenario::Dakar {
            let max = 0.5 * best(results, result.scenario, |s| s.fragmentation);
            add("fragmentation", s.fragmentation, max, 0.0);
            let max = 0.5 * best(results, result.scenario, |s| s.large_wait_p95_s);
            add("large_wait_p95_s", s.large_wait_p95_s, max, 0.0);
        }
        if profile == WeightProfile::Dakar && result.scenario != Scenario::Norden {
            let max = 0.7 * best(results, result.scenario, |s| s.mean_completion_s);
            add("mean_completion_s", s.mean_completion_s, max, s.min_mean_completion_s);
            let max = 0.7 * best(results, result.scenario, |s| s.p95_completion_s);
            add("p95_completion_s", s.p95_completion_s, max, s.min_p95_completion_s);
        }
        add("reclaim_p99_s", s.reclaim_p99_s, RECLAIM_MAX_S, 0.0);
        add("violations", s.violation_count() as f64, 0.0, 0.0);
    }
    targets
}
