//! Errors of the settings.

use std::io;

use thiserror::Error;

use super::Origin;

/// Where in a source an error lies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Name of the source, usually a path.
    pub source: String,
    /// Whole text of the source.
    pub text: String,
    /// First byte.
    pub start: usize,
    /// Byte after the last.
    pub end: usize,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// Reason why settings are refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("the settings file {path} cannot be read")]
    Read {
        /// Its path.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The text is not valid, or a value in it is.
    #[error("{}:{}:{}: {message}", location.source, location.line, location.column)]
    Text {
        /// What is wrong.
        message: String,
        /// What to do.
        help: String,
        /// Where.
        location: Box<Location>,
    },
    /// A value from outside the file is wrong.
    #[error("`{path}` from {origin}: {message}")]
    Override {
        /// Path of the key.
        path: String,
        /// Where the value comes from.
        origin: Origin,
        /// What is wrong.
        message: String,
    },
    /// An environment variable with our prefix names no key.
    #[error("environment variable {0} names no setting; `yuccaridge check --keys` lists them")]
    UnknownVariable(String),
    /// A key that has no default is not set.
    #[error("`{path}` is not set: give it in the settings file, or as {variable}")]
    Missing {
        /// Path of the key.
        path: &'static str,
        /// Environment variable that sets it.
        variable: String,
    },
}
