//! Budget of requests to the platform's table.

use serde::{Deserialize, Serialize};

/// Request rates to the table that all instances together may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// Writes per second, 1 to 10,000.
    pub writes: u32,
    /// Reads per second, 1 to 100,000.
    pub reads: u32,
}

impl Default for Budget {
    fn default() -> Self {
        // Half of the rates that the platform sustains.
        Self {
            writes: 150,
            reads: 1000,
        }
    }
}
