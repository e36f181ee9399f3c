//! Values from the environment and the command line that override the settings file.

use std::collections::BTreeMap;
use std::fmt;

use super::{ConfigError, KEYS};

/// Prefix of the environment variables that override settings.
pub const ENV_PREFIX: &str = "YUCCARIDGE_";

/// Variables with the prefix that the command line reads itself; they set options, not settings.
const CLI_VARIABLES: &[&str] = &["YUCCARIDGE_SETTINGS", "YUCCARIDGE_SERVER"];

/// Origin of an override.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The environment variable of this name.
    Environment(String),
    /// The command line.
    CommandLine,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Environment(name) => write!(f, "environment variable {name}"),
            Self::CommandLine => f.write_str("the command line"),
        }
    }
}

/// A value that overrides the one in the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Path of the key.
    pub path: String,
    /// Value as text.
    pub value: String,
    /// Where the value comes from.
    pub origin: Origin,
}

/// Collects the overrides from the environment. A variable with the prefix that matches no key is an error.
pub fn from_environment(variables: &BTreeMap<String, String>) -> Result<Vec<Override>, ConfigError> {
    let mut found = Vec::new();
    for (name, value) in variables {
        if !name.starts_with(ENV_PREFIX) || CLI_VARIABLES.contains(&name.as_str()) {
            continue;
        }
        let Some(key) = KEYS.iter().find(|key| key.variable() == *name) else {
            return Err(ConfigError::UnknownVariable(name.clone()));
        };
        found.push(Override {
            path: key.path.to_owned(),
            value: value.clone(),
            origin: Origin::Environment(name.clone()),
        });
    }
    Ok(found)
}
