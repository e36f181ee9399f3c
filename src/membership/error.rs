//! Errors of reading the instances and endpoints.

use thiserror::Error;

use crate::platform::{ListingError, TableError};

/// Reason why instances or endpoints could not be updated.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The session rows could not be read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The list could not be read.
    #[error(transparent)]
    Listing(#[from] ListingError),
}
