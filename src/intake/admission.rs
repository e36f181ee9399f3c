//! A request that the configuration allows.

use std::sync::Arc;

use crate::port::Queue;

/// Queue and team of a request that the configuration allows.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Queue.
    pub queue: Arc<Queue>,
    /// Team of the key; empty on an open queue.
    pub team: Arc<str>,
    /// Path within the queue.
    pub subpath: Arc<str>,
}
