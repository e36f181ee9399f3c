//! Failure of a session.

use thiserror::Error;

use crate::name::InstanceName;
use crate::platform::{Key, TableError};

/// Reason why the session could not be renewed or the configuration not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SessionError {
    /// The table failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The row belongs to another boot and has not lapsed.
    #[error("the session of `{0}` is held by another process or an earlier start of this one")]
    Taken(InstanceName),
    /// A row holds something else than expected.
    #[error("row `{0}` cannot be read")]
    Format(Key),
    /// The configuration kept changing while it was read.
    #[error("the configuration keeps changing")]
    Changing,
    /// The session was given up.
    #[error("the session was given up")]
    Left,
}
