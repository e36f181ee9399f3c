//! How well an instance reaches the store.

/// How well an instance reaches the store, judged by the configuration that it follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// The last call succeeded, and the configuration is fresh.
    Good,
    /// The last call failed, and the configuration is still fresh.
    Lost,
    /// The configuration is too old to admit anyone.
    Stale,
}
