//! Targets that were set before anything was measured (section 3 of the design page).

use super::policy::Row;
use super::policy_kind::{Contender, Owner};
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
    pub bound: f64,
    /// Value that no policy is below, if one is known.
    pub floor: f64,
}

impl Target {
    /// Whether it is held.
    pub fn held(&self) -> bool {
        self.value <= self.bound
    }
}

fn best(rows: &[Row], scenario: Scenario, figure: fn(&Summary) -> f64) -> f64 {
    let mut best = f64::INFINITY;
    for row in rows {
        if row.scenario == scenario && !matches!(row.contender, Contender::Ours(_)) {
            best = best.min(figure(&row.summary));
        }
    }
    best
}

/// All targets that the rows allow to judge. An owner's targets are judged on its own trace and on the traces of faults
/// and bursts, against the best baseline in each figure by itself.
pub fn targets(rows: &[Row]) -> Vec<Target> {
    let mut targets = Vec::new();
    for row in rows {
        let Contender::Ours(owner) = row.contender else {
            continue;
        };
        let mut add = |figure: &str, value, bound, floor| {
            let name = format!("{} {} {figure}", row.scenario.name(), owner.name());
            targets.push(Target {
                name,
                value,
                bound,
                floor,
            });
        };
        let s = &row.summary;
        if owner == Owner::Norden && row.scenario != Scenario::Dakar {
            let bound = 0.5 * best(rows, row.scenario, |s| s.fragmentation);
            add("fragmentation", s.fragmentation, bound, 0.0);
            let bound = 0.5 * best(rows, row.scenario, |s| s.wait);
            add("large_wait_p95_s", s.wait, bound, 0.0);
        }
        if owner == Owner::Dakar && row.scenario != Scenario::Norden {
            let bound = 0.7 * best(rows, row.scenario, |s| s.mean);
            add("mean_completion_s", s.mean, bound, s.floor_mean);
            let bound = 0.7 * best(rows, row.scenario, |s| s.p95);
            add("p95_completion_s", s.p95, bound, s.floor_p95);
        }
        add("reclaim_p99_s", s.reclaim, RECLAIM_MAX_S, 0.0);
        add("violations", s.broken() as f64, 0.0, 0.0);
    }
    targets
}
