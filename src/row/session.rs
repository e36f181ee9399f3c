//! Rows of sessions.

use serde::{Deserialize, Serialize};

use crate::name::DomainName;
use crate::platform::Address;

/// `session/<instance>`: lease of an instance, which renews it each second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    /// Identifies one start of the instance.
    pub boot: String,
    /// Address for connections from other instances.
    pub peer: Address,
    /// Failure domain.
    pub domain: DomainName,
    /// Number of the newest ticket whose configuration the instance uses.
    pub ticket: u64,
    /// Number of renewals; changes with each one, so that other instances can detect it.
    pub renewals: u64,
    /// Whether the instance is shutting down and takes over no pools.
    pub draining: bool,
}
