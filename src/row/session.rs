//! Row of a session.

use serde::{Deserialize, Serialize};

use crate::name::DomainName;
use crate::platform::Address;

/// `session/<instance>`: written each second by a live instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    /// Differs between two starts of the same instance.
    pub boot: String,
    /// Where it takes peer connections.
    pub peer: Address,
    /// Its failure domain.
    pub domain: DomainName,
    /// Number of the ticket that it uses.
    pub ticket: u64,
    /// Counts renewals, so that each one is visible.
    pub renewals: u64,
    /// Whether it is shutting down and takes no pools.
    pub draining: bool,
}
