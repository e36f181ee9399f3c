//! The interface of a scheduling policy.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Decision, Event};
use crate::name::TeamName;
use crate::time::Millis;

/// Relative weights of the scheduling objectives.
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

/// A scheduling policy: [`Scheduler`](super::Scheduler) or a baseline that it is compared with.
pub trait Policy: fmt::Debug + Send {
    /// Processes an event.
    fn apply(&mut self, now: Millis, event: Event);

    /// Decides what to do now. The policy assumes that its decisions are carried out until an event says otherwise.
    fn decide(&mut self, now: Millis) -> Vec<Decision>;

    /// Guarantees that the remaining capacity cannot satisfy, described in a sentence for each team.
    fn at_risk(&self) -> BTreeMap<TeamName, String> {
        BTreeMap::new()
    }

    /// Earliest time at which `decide` may have something to do without a further event.
    fn wake_at(&self) -> Option<Millis>;
}
