//! Identifiers of transactions.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::name::InstanceName;
use crate::platform::OpId;

/// Generator of transaction identifiers that are unique over all boots of all instances.
#[derive(Debug)]
pub struct OpIds {
    prefix: String,
    next: AtomicU64,
}

impl OpIds {
    /// Creates the generator of one boot of an instance.
    pub fn new(instance: &InstanceName, boot: &str) -> Self {
        Self {
            prefix: format!("{instance}.{boot}"),
            next: AtomicU64::new(1),
        }
    }

    /// Returns the next identifier.
    pub fn next(&self) -> OpId {
        OpId(format!("{}.{}", self.prefix, self.next.fetch_add(1, Ordering::Relaxed)))
    }
}
