//! The platform's object store.

use std::fmt;

use thiserror::Error;

/// Failure of the object store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ObjectError {
    /// The store cannot be reached or did not answer. A put may have taken effect.
    #[error("the object store cannot be reached: {0}")]
    Unavailable(String),
    /// The object does not exist.
    #[error("object `{0}` does not exist")]
    Absent(String),
}

/// The object store. Objects are immutable: a name is written only once, and repeating a put is safe.
pub trait Objects: fmt::Debug + Send + Sync {
    /// Writes an object.
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), ObjectError>;

    /// Reads an object.
    fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError>;
}
