//! Check of guarantees against the capacity of the fleet.

use std::fmt;

use crate::team::Catalog;

/// Checks whether all guarantees of a catalog fit the fleet at the same time.
pub trait CapacityCheck: fmt::Debug + Send + Sync {
    /// The error describes the shortfall as a clause such as ``pool `west` has 12 of 16 accelerators``.
    fn check(&self, catalog: &Catalog) -> Result<(), String>;
}

/// Accepts every catalog; for instances that do not know the fleet, and for tests.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoCapacityCheck;

impl CapacityCheck for NoCapacityCheck {
    fn check(&self, _catalog: &Catalog) -> Result<(), String> {
        Ok(())
    }
}
