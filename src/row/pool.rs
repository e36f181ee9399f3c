//! Row of a pool.

use serde::{Deserialize, Serialize};

use crate::name::InstanceName;

/// `pool/<pool>`: who plans it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Instance that holds it.
    pub holder: InstanceName,
    /// The holder's boot.
    pub boot: String,
    /// Fencing token; grows with each takeover.
    pub epoch: u64,
}
