//! Errors of a session.

use thiserror::Error;

use crate::name::InstanceName;
use crate::platform::{Key, TableError};

/// Reason why the session could not be renewed or the configuration could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SessionError {
    /// The table failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The session row belongs to another boot and has not lapsed.
    #[error("the session of `{0}` is held by another process or an earlier run of this one")]
    Taken(InstanceName),
    /// A row's key or value cannot be decoded.
    #[error("row `{0}` cannot be decoded")]
    Format(Key),
    /// The configuration changed during every attempt.
    #[error("the configuration changed during every attempt to read it or to renew the session")]
    Changing,
    /// The session was released for good.
    #[error("the session was released")]
    Released,
}
