//! Pools: racks whose jobs are scheduled together.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::name::{DomainName, RackName};

/// A pool: all racks of its failure domains, or only the named racks in them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Failure domains that the pool spans.
    pub domains: BTreeSet<DomainName>,
    /// Racks of the pool; empty means all racks of the domains.
    #[serde(default)]
    pub racks: BTreeSet<RackName>,
}
