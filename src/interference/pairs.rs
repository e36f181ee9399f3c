//! Learned effects between kinds of tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::kind_stats::is_plausible_speed;
use super::{Finding, KindStats};

/// Time in which measurements lose half of their weight, in milliseconds.
const HALF_LIFE_MS: f64 = 600_000.0;

/// Least time between two reductions of the weights, in milliseconds.
const DECAY_INTERVAL_MS: u64 = 1_000;

/// Weight below which measurements are forgotten.
const WEIGHT_MIN: f64 = 0.01;

/// Most pairs of kinds, and most kinds.
const PAIRS_MAX: usize = 256;
const KINDS_MAX: usize = 256;

/// Which kinds of tasks slow each other down on one endpoint.
#[derive(Debug, Default, Clone)]
pub struct Interference {
    kinds: BTreeMap<Arc<str>, KindStats>,
    decayed_at: u64,
}

impl Interference {
    /// Adds a measurement: `log_speed` of a run beside runs of the kinds `beside`. Values that no measurement gives are
    /// left out.
    pub fn observe(&mut self, kind: &Arc<str>, log_speed: f64, beside: &BTreeSet<Arc<str>>, now_ms: u64) {
        if !is_plausible_speed(log_speed) {
            return;
        }
        self.forget(now_ms);
        if !self.kinds.contains_key(kind) {
            self.make_room_for_kind();
        }
        self.kinds.entry(Arc::clone(kind)).or_default().total.add(log_speed);
        for other in beside.iter().take(PAIRS_MAX) {
            if !self.kinds[kind].beside.contains_key(other) {
                self.make_room_for_pair();
            }
            let Some(stats) = self.kinds.get_mut(kind) else { return };
            stats.beside.entry(Arc::clone(other)).or_default().add(log_speed);
        }
    }

    /// Reduces the weight of earlier measurements by their age.
    pub fn forget(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.decayed_at);
        if elapsed < DECAY_INTERVAL_MS {
            return;
        }
        self.decayed_at = now_ms;
        let factor = (-(elapsed as f64) / HALF_LIFE_MS).exp2();
        for stats in self.kinds.values_mut() {
            stats.total.decay(factor);
            for moments in stats.beside.values_mut() {
                moments.decay(factor);
            }
            stats.beside.retain(|_, moments| moments.weight >= WEIGHT_MIN);
        }
        self.kinds.retain(|_, stats| stats.total.weight >= WEIGHT_MIN);
    }

    /// Whether tasks of the kind `other` slow down those of `kind`.
    pub fn harms(&self, other: &str, kind: &str) -> bool {
        self.effect(kind, other).is_some_and(|effect| effect.is_harmful())
    }

    /// Whether tasks of these kinds are better kept apart, since either kind slows down the other.
    pub fn keeps_apart(&self, kind: &str, beside: &str) -> bool {
        self.harms(beside, kind) || self.harms(kind, beside)
    }

    /// Measured effect of the kind `beside` on `kind`, harmful or not; `None` if they have not been seen together.
    pub fn effect(&self, kind: &str, beside: &str) -> Option<Finding> {
        let (kind, stats) = self.kinds.get_key_value(kind)?;
        let (beside, together) = stats.beside.get_key_value(beside)?;
        let apart = stats.total.without(together);
        Some(Finding {
            kind: Arc::clone(kind),
            beside: Arc::clone(beside),
            log_ratio: apart.mean - together.mean,
            error: (together.variance_of_mean() + apart.variance_of_mean()).sqrt(),
            measurements: together.weight.min(apart.weight),
        })
    }

    /// Harmful pairs, ordered by kind.
    pub fn findings(&self) -> Vec<Finding> {
        self.effects().filter(Finding::is_harmful).collect()
    }

    /// Measurements by kind.
    pub fn kinds(&self) -> &BTreeMap<Arc<str>, KindStats> {
        &self.kinds
    }

    /// Restores the stored measurements of a kind unless they are implausible; their age counts from `now_ms`.
    pub fn restore(&mut self, kind: &Arc<str>, stats: KindStats, now_ms: u64) {
        if !stats.is_plausible() {
            return;
        }
        self.forget(now_ms);
        let pairs: usize = self.kinds.values().map(|stats| stats.beside.len()).sum();
        if self.kinds.len() >= KINDS_MAX || pairs + stats.beside.len() > PAIRS_MAX {
            return;
        }
        self.kinds.insert(Arc::clone(kind), stats);
    }

    fn effects(&self) -> impl Iterator<Item = Finding> {
        let pairs = self
            .kinds
            .iter()
            .flat_map(|(kind, stats)| stats.beside.keys().map(move |beside| (kind, beside)));
        pairs.filter_map(|(kind, beside)| self.effect(kind, beside))
    }

    /// Drops the pair with the least evidence if there is no room for a further one.
    fn make_room_for_pair(&mut self) {
        if self.effects().count() < PAIRS_MAX {
            return;
        }
        let least = self
            .effects()
            .min_by(|left, right| left.measurements.total_cmp(&right.measurements));
        if let Some(pair) = least
            && let Some(stats) = self.kinds.get_mut(&pair.kind)
        {
            stats.beside.remove(&pair.beside);
        }
    }

    /// Drops the kind with the least measurements if there is no room for a further one.
    fn make_room_for_kind(&mut self) {
        if self.kinds.len() < KINDS_MAX {
            return;
        }
        let least = self
            .kinds
            .iter()
            .min_by(|(_, left), (_, right)| left.total.weight.total_cmp(&right.total.weight));
        if let Some(kind) = least.map(|(kind, _)| Arc::clone(kind)) {
            self.kinds.remove(&kind);
        }
    }
}
