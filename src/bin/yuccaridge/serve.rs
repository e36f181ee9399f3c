//! The `serve` command, and the resolution of settings for `serve` and `check`.

use std::collections::BTreeMap;
use std::env;

use yuccaridge::config::{Config, Origin, Override, Source, from_environment};
use yuccaridge::{instance, logging};

use crate::cli::SettingsOptions;
use crate::exit::{Exit, Failure};

/// Runs an instance until it has been stopped and has drained.
pub fn run(options: &SettingsOptions) -> Result<Exit, Failure> {
    let config = resolve(options)?;
    let _logging = logging::start(&config.log).map_err(|error| Failure::Instance(error.to_string()))?;
    instance::run(&config).map_err(|error| Failure::Instance(error.to_string()))?;
    Ok(Exit::Success)
}

/// Resolves the settings from file, environment and command line.
pub fn resolve(options: &SettingsOptions) -> Result<Config, Failure> {
    let source = match &options.settings {
        Some(path) => Source::read(path)?,
        None => Source::parse("no settings file", "{}")?,
    };
    let mut variables = BTreeMap::new();
    for (name, value) in env::vars_os() {
        if let (Ok(name), Ok(value)) = (name.into_string(), value.into_string()) {
            variables.insert(name, value);
        }
    }
    let mut overrides = from_environment(&variables)?;
    for (path, value) in &options.sets {
        overrides.push(Override {
            path: path.clone(),
            value: value.clone(),
            origin: Origin::CommandLine,
        });
    }
    Ok(Config::resolve(&source, &overrides)?)
}
