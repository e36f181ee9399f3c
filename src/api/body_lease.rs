//! A body that is arriving.

use std::sync::Arc;

use super::{BodyBudget, HeldBody, Refusal};

/// Share of a body in the budget; released when dropped.
#[derive(Debug)]
pub struct BodyLease {
    budget: Arc<BodyBudget>,
    id: u64,
}

impl BodyLease {
    pub(super) fn new(budget: Arc<BodyBudget>, id: u64) -> Self {
        Self { budget, id }
    }

    /// Adds bytes that have arrived.
    pub fn append(&mut self, piece: &[u8]) -> Result<(), Refusal> {
        self.budget.append(self.id, piece)
    }

    /// Ends the body. From now on it cannot be evicted.
    pub fn complete(self) -> Result<HeldBody, Refusal> {
        let bytes = self.budget.complete(self.id)?;
        Ok(HeldBody::new(bytes, self))
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}
