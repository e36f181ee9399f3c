//! A body that has arrived in full.

use super::BodyLease;

/// Bytes of a whole body, with their share in the budget.
#[derive(Debug)]
pub struct HeldBody {
    // Dropped before the lease, so that the budget never counts less than is held.
    bytes: Vec<u8>,
    _lease: BodyLease,
}

impl HeldBody {
    pub(super) fn new(bytes: Vec<u8>, lease: BodyLease) -> Self {
        Self { bytes, _lease: lease }
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
