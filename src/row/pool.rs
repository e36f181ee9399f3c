//! Row of a pool.

use serde::{Deserialize, Serialize};

use crate::name::InstanceName;

/// `pool/<pool>`: who plans it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Instance that holds it.
    pub holder: InstanceName,
    /// The holder's boot; empty if it handed the pool over.
    pub boot: String,
    /// Fencing token; grows with each takeover.
    pub epoch: u64,
}

impl PoolRow {
    /// Whether its holder handed it over, so that anybody may take it.
    pub fn is_vacant(&self) -> bool {
        self.boot.is_empty()
    }
}
