//! Guaranteed shapes.

use serde::{Deserialize, Serialize};

use crate::name::PoolName;

/// Part of the fleet whose accelerators count as adjacent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Accelerators of one endpoint.
    #[serde(rename = "worker")]
    Endpoint,
    /// Accelerators of one rack.
    Rack,
}

/// A number of equal sets of adjacent accelerators that a team can always claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Pool that holds the accelerators.
    pub pool: PoolName,
    /// How adjacent they are.
    pub level: Level,
    /// Accelerators in one set.
    pub accelerators: u16,
    /// Number of sets.
    pub count: u16,
}
