//! Workers as known here.

use crate::platform::{ListedWorker, Presence};
use crate::time::Millis;

/// A worker and how far it can be relied on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownWorker {
    /// What the list said last.
    pub listed: ListedWorker,
    /// Since when it is missing from the list, if it is.
    pub missing: Option<Millis>,
}

impl KnownWorker {
    /// Whether it may get new work: listed, and not leaving.
    pub fn is_open(&self) -> bool {
        self.missing.is_none() && self.listed.presence == Presence::Live
    }
}
