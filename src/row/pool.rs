//! Rows of pools.

use serde::{Deserialize, Serialize};

use crate::name::InstanceName;

/// `pool/<pool>`: instance that plans the pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Instance that holds the pool.
    pub holder: InstanceName,
    /// Boot of the holder; empty if the holder has given up the pool.
    pub boot: String,
    /// Fencing token; increases with each takeover.
    pub epoch: u64,
}

impl PoolRow {
    /// Whether the holder has given up the pool, so that any instance may take it over.
    pub fn is_vacant(&self) -> bool {
        self.boot.is_empty()
    }
}
