//! Addresses of the platform's services.

use serde::{Deserialize, Serialize};

/// Base addresses, each `http://IP:PORT`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bases {
    /// Transactional table.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// List of instances and workers.
    pub list: String,
}
