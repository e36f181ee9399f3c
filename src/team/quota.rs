//! Teams with their quotas and guarantees.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Guarantee;
use crate::name::KindName;

/// A team: its guarantees, its quota, and the kinds of jobs that it may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Shapes that the team can claim at any time.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Maximum number of accelerators that the team may hold at once, including those of its guarantees.
    pub quota: u32,
    /// Weight of the team's share in capacity beyond the guarantees, relative to other teams; 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// Kinds of jobs that the team may run.
    pub kinds: BTreeSet<KindName>,
}

fn default_weight() -> u16 {
    1
}
