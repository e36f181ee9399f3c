//! Teams.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Guarantee;
use crate::name::KindName;

/// A team: what it may run, what it is guaranteed, how much it may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Shapes that the team can always claim.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Most accelerators that the team may hold at once, in and beyond its guarantees.
    pub quota: u32,
    /// Share of what is left over, relative to other teams; 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// Kinds of jobs that it may run.
    pub kinds: BTreeSet<KindName>,
}

fn default_weight() -> u16 {
    1
}
