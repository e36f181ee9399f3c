//! Units that may be stopped.

/// What the cost of a stop depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningUnit {
    /// Processor cores of all of its tasks; an accelerator counts as several.
    pub cores: f64,
    /// Time since the present run was placed, in milliseconds.
    pub worked_ms: u64,
    /// Whether a stop saves its work.
    pub checkpoints: bool,
    /// Number of earlier runs that were given up without having failed.
    pub stops: u32,
}
