//! Names of jobs, teams and machines.
//!
//! A name is a shared immutable string that is validated when it is created. A clone copies a pointer. Names appear in
//! table keys and URLs, so they consist only of characters that need no escaping there.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("the name is empty")]
    Empty,
    /// The text has more than [`NAME_BYTES_MAX`] bytes.
    #[error("the name has {0} bytes; at most {NAME_BYTES_MAX} are allowed")]
    TooLong(usize),
    /// The text contains a character outside `a-z A-Z 0-9 . _ -`.
    #[error("a name consists of ASCII letters, digits, `.`, `_` and `-`; {0:?} is not allowed")]
    Character(char),
    /// The text is `.` or `..`, which are removed from URL paths.
    #[error("the names `.` and `..` are not allowed")]
    DotSegment,
}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(NameError::TooLong(text.len()));
    }
    if matches!(text, "." | "..") {
        return Err(NameError::DotSegment);
    }
    match text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-'))
    {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a text, if the text is valid.
            pub fn new<T>(text: T) -> Result<Self, NameError>
            where
                T: AsRef<str>,
            {
                validate(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// Name of a job, chosen by its caller.
    JobId;
    /// Name of a team.
    TeamName;
    /// Name of a kind of job, such as a photo check.
    KindName;
    /// Name of an endpoint.
    EndpointName;
    /// Name of a rack.
    RackName;
    /// Name of a failure domain.
    DomainName;
    /// Name of an instance.
    InstanceName;
    /// Name of a pool.
    PoolName;
}
