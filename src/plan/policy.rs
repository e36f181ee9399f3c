//! Interface of a policy.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Decision, Event};
use crate::name::TeamName;
use crate::time::Millis;

/// What counts, relative to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of completion time, 0 to 1.
    pub completion: f64,
    /// Weight of fragmentation, 0 to 1.
    pub fragmentation: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            completion: 0.5,
            fragmentation: 0.5,
        }
    }
}

/// A way to decide; the product's own and the baselines that it is measured against.
pub trait Policy: fmt::Debug + Send {
    /// Takes in what has happened.
    fn apply(&mut self, now: Millis, event: Event);

    /// What to do now; decisions count as carried out until an event says otherwise.
    fn decide(&mut self, now: Millis) -> Vec<Decision>;

    /// Guarantees that the capacity left cannot hold now, in a sentence for each team.
    fn at_risk(&self) -> BTreeMap<TeamName, String> {
        BTreeMap::new()
    }

    /// Earliest time at which `decide` may want something without a further event.
    fn wake_at(&self) -> Option<Millis>;
}
