//! Teams of the configuration.

use std::sync::Arc;

/// A team and its guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that belong to its jobs of priority 0.
    pub guaranteed: u64,
}
