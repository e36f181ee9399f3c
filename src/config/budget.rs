//! Share of the platform's capacity.

use serde::{Deserialize, Serialize};

/// Requests to the table that all instances together may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// Writes a second, 1 to 10,000.
    pub writes: u32,
    /// Reads a second, 1 to 100,000.
    pub reads: u32,
}

impl Default for Budget {
    fn default() -> Self {
        // Half of what the platform sustains.
        Self {
            writes: 150,
            reads: 1000,
        }
    }
}
