//! Admission of a request by the configuration.

use std::sync::Arc;

use crate::port::Queue;

/// An admitted request: its queue, team and path.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Queue that the host and path lead to.
    pub queue: Arc<Queue>,
    /// Version of the configuration that admitted it.
    pub config_version: u64,
    /// Team that the key belongs to; empty on an open queue if the key belongs to none.
    pub team: Arc<str>,
    /// Digest of the key; `None` if there was none.
    pub key_digest: Option<[u8; 32]>,
    /// Path below that of the queue.
    pub subpath: Arc<str>,
}
