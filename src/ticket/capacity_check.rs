//! Whether guarantees fit the fleet.

use std::fmt;

use crate::team::Catalog;

/// Decides whether all guarantees of a catalog fit the fleet at once.
pub trait CapacityCheck: fmt::Debug + Send + Sync {
    /// Names the shortfall if they do not, as a clause such as ``pool `west` has 12 of 16 accelerators``.
    fn check(&self, catalog: &Catalog) -> Result<(), String>;
}

/// Takes every catalog; for instances that do not know the fleet, and for tests.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoCapacityCheck;

impl CapacityCheck for NoCapacityCheck {
    fn check(&self, _catalog: &Catalog) -> Result<(), String> {
        Ok(())
    }
}
