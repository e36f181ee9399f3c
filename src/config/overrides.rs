//! Values from outside the settings file.

use std::collections::BTreeMap;
use std::fmt;

use super::{ConfigError, KEYS};

/// Start of the names of environment variables.
pub const ENV_PREFIX: &str = "YUCCARIDGE_";

/// Variables that the command line reads itself.
const CLI_VARIABLES: &[&str] = &["YUCCARIDGE_SETTINGS", "YUCCARIDGE_SERVER"];

/// Where an override comes from.
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

/// A value that replaces the one in the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Path of the key.
    pub path: String,
    /// Value as text.
    pub value: String,
    /// Where it comes from.
    pub origin: Origin,
}

/// Overrides in the environment; refuses variables with our prefix that name no key.
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
