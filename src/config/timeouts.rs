//! Timeouts of requests that an instance sends.

use serde::{Deserialize, Serialize};

/// Timeouts in milliseconds, each 10 to 600,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Opening a connection.
    pub connect_ms: u64,
    /// Request to the table.
    pub table_ms: u64,
    /// Request to the object store.
    pub objects_ms: u64,
    /// Request for the list.
    pub list_ms: u64,
    /// Command or report request to an endpoint.
    #[serde(rename = "worker_ms")]
    pub endpoint_ms: u64,
    /// Call to an endpoint whose caller gave no deadline.
    pub call_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect_ms: 250,
            // A renewal that takes longer than a third of the 3 s lease leaves no time for a second attempt.
            table_ms: 1000,
            objects_ms: 5000,
            list_ms: 1000,
            // A reclaim has 2.6 s in total, so a lost command must be sent again well before that.
            endpoint_ms: 500,
            call_ms: 60_000,
        }
    }
}
