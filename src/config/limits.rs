//! Limits of the HTTP server.

use serde::{Deserialize, Serialize};

/// Limits on requests to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of connections besides those whose requests wait for an answer, 1 to 10,000.
    pub connections: u32,
    /// Maximum size of a body in bytes, 1 KiB to 16 MiB.
    pub body_bytes: u64,
    /// Bytes that the bodies of all requests may hold together, 32 MiB to 16 GiB.
    pub held_bytes: u64,
    /// Time within which the header and body of a request must arrive, in milliseconds; 100 to 60,000.
    pub header_ms: u64,
    /// Maximum number of requests that wait for an answer at once, 1 to 10,000.
    pub waiting: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 512,
            body_bytes: 1024 * 1024,
            held_bytes: 256 * 1024 * 1024,
            header_ms: 10_000,
            waiting: 256,
        }
    }
}
