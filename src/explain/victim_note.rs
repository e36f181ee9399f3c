//! A unit that would be stopped.

use std::sync::Arc;

use serde::Serialize;

/// A unit that would be stopped for an urgent one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VictimNote {
    /// Its job.
    pub job: Arc<str>,
    /// Team of its job.
    pub team: Arc<str>,
    /// Position of the unit in its job.
    pub unit: usize,
    /// Work that would be lost, in core-seconds.
    pub cost: f64,
}
