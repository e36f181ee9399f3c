//! Endpoints as known here.

use crate::platform::{ListedEndpoint, Presence};
use crate::time::Millis;

/// An endpoint and how far it can be relied on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownEndpoint {
    /// What the list said last.
    pub listed: ListedEndpoint,
    /// Since when it is missing from the list, if it is.
    pub missing: Option<Millis>,
}

impl KnownEndpoint {
    /// Whether it may get new work: listed, and not leaving.
    pub fn is_open(&self) -> bool {
        self.missing.is_none() && self.listed.presence == Presence::Live
    }
}
