//! The whole configuration at one ticket number.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Kind, Pool, Team};
use crate::name::{KindName, PoolName, TeamName};

/// All teams, kinds and pools after one ticket was applied.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Number of the newest applied ticket; 0 before the first.
    pub number: u64,
    /// Teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// Kinds of jobs.
    pub kinds: BTreeMap<KindName, Kind>,
    /// Pools.
    pub pools: BTreeMap<PoolName, Pool>,
}
