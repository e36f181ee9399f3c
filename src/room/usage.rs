//! Endpoints that the large tasks of a class need at one time.

/// Endpoints that the large tasks of a class use and wait for; two tasks that each take half of one count as one.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Used by tasks that have been placed.
    pub used: f64,
    /// Needed by tasks that could start.
    pub awaited: f64,
}
