//! The platform's object store.

use std::fmt;

use thiserror::Error;

/// Failure of the object store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ObjectError {
    /// The store cannot be reached or did not answer; a put may have taken effect.
    #[error("the object store cannot be reached: {0}")]
    Unavailable(String),
    /// No such object.
    #[error("there is no object `{0}`")]
    Absent(String),
}

/// The object store. Objects are immutable: a name is written once, repeating a put is safe.
pub trait Objects: fmt::Debug + Send + Sync {
    /// Writes an object.
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), ObjectError>;

    /// Reads an object.
    fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError>;
}
