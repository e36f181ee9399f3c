//! Addresses of the platform's services.

use serde::{Deserialize, Serialize};

use crate::platform::Address;

/// Addresses as set in the settings; all may be missing.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Transactional table.
    pub table: Option<Address>,
    /// Object store.
    pub objects: Option<Address>,
    /// List of instances and endpoints.
    pub list: Option<Address>,
}

/// Addresses of all services, each present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Transactional table.
    pub table: Address,
    /// Object store.
    pub objects: Address,
    /// List of instances and endpoints.
    pub list: Address,
}
