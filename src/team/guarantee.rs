//! Guaranteed shapes.

use serde::{Deserialize, Serialize};

use crate::name::PoolName;

/// Level of the fleet within which accelerators count as adjacent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Accelerators of one endpoint.
    #[serde(rename = "worker")]
    Endpoint,
    /// Accelerators of one rack.
    Rack,
}

/// Equal sets of adjacent accelerators that a team can always claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Pool that holds the accelerators.
    pub pool: PoolName,
    /// Level within which the accelerators of one set lie.
    pub level: Level,
    /// Accelerators in one set.
    pub accelerators: u16,
    /// Number of sets.
    pub count: u16,
}
