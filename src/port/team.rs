//! Teams of the configuration.

use std::sync::Arc;

/// A team and its guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name.
    pub name: Arc<str>,
    /// Keys with which its callers authenticate.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that are guaranteed to its jobs of priority 0.
    pub guaranteed: u64,
}
