//! Errors of the settings.

use std::io;

use thiserror::Error;

use super::Origin;

/// Position of an error in the text of a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Name of the source, usually a path.
    pub source: String,
    /// Whole text of the source.
    pub text: String,
    /// Byte offset at which the faulty text starts.
    pub start: usize,
    /// Byte offset after its end.
    pub end: usize,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
}

/// Reason why settings cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("the settings file {path} cannot be read")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the read.
        source: io::Error,
    },
    /// The text or a value in it is not valid.
    #[error("{}:{}:{}: {message}", location.source, location.line, location.column)]
    Text {
        /// Description of the error.
        message: String,
        /// Advice on how to correct it.
        help: String,
        /// Position of the error.
        location: Box<Location>,
    },
    /// An override is not valid.
    #[error("`{path}` from {origin}: {message}")]
    Override {
        /// Path of the key.
        path: String,
        /// Origin of the override.
        origin: Origin,
        /// Description of the error.
        message: String,
    },
    /// An environment variable has [`super::ENV_PREFIX`] but matches no key.
    #[error("environment variable {0} matches no setting; `yuccaridge check --keys` lists the valid names")]
    UnknownVariable(String),
    /// A key that has no default is not set.
    #[error("`{path}` is not set and has no default; set it in the settings file or with {variable}")]
    Missing {
        /// Path of the key.
        path: &'static str,
        /// Environment variable that sets it.
        variable: String,
    },
}
