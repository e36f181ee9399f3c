//! Endpoints as last seen in the platform's list.

use crate::platform::{ListedEndpoint, Presence};
use crate::time::Millis;

/// An endpoint that is listed, or was until recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownEndpoint {
    /// Its last entry in the list.
    pub listed: ListedEndpoint,
    /// Time since which it is missing from the list; `None` while it is listed.
    pub missing_since: Option<Millis>,
}

impl KnownEndpoint {
    /// Whether the endpoint may get new work: it is listed and not leaving.
    pub fn is_open(&self) -> bool {
        self.missing_since.is_none() && self.listed.presence == Presence::Live
    }
}
