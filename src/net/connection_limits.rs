//! Limits on what the connections of a server hold together.

/// Share of the file descriptors that connections of callers may use, in percent; the others are for calls to endpoints
/// and to the store.
const DESCRIPTOR_PERCENT: usize = 60;

/// Share of the memory that bodies of requests may take while they are received and handled. Decoding and storing a job
/// takes a few times the size of its body.
const BODY_MEMORY_SHARE: usize = 16;

/// Share of the memory that connections may take without the bodies of their requests.
const CONNECTION_MEMORY_SHARE: usize = 8;

/// Memory of a connection without the body of its request, in bytes: a full read buffer, and its state.
const CONNECTION_BYTES: usize = 24 * 1_024;

const BYTES_PER_KB: usize = 1_024;
const BYTES_PER_MB: usize = 1_024 * BYTES_PER_KB;

/// Limits on what the connections of a server hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most connections.
    pub connections: usize,
    /// Most bytes of request bodies that are being received or handled.
    pub body_bytes: usize,
}

impl ConnectionLimits {
    /// Limits for a machine with this memory and this many file descriptors for sockets.
    pub fn for_machine(memory_mb: usize, descriptors: usize) -> Self {
        let memory = memory_mb.saturating_mul(BYTES_PER_MB);
        let in_memory = memory / CONNECTION_MEMORY_SHARE / CONNECTION_BYTES;
        Self {
            connections: (descriptors * DESCRIPTOR_PERCENT / 100).min(in_memory).max(1),
            body_bytes: memory / BODY_MEMORY_SHARE,
        }
    }

    /// The same with these limits where they are given.
    #[must_use]
    pub fn with(self, connections: Option<usize>, body_kb: Option<usize>) -> Self {
        Self {
            connections: connections.unwrap_or(self.connections),
            body_bytes: body_kb.map_or(self.body_bytes, |kb| kb.saturating_mul(BYTES_PER_KB)),
        }
    }
}
