//! The configuration that a process runs with.

use serde_json::Value;

use super::{
    Budget, ConfigError, KEYS, Key, Limits, LogSettings, Override, PlatformAddresses, Settings, Source, Timeouts,
    TraceOutput,
};
use crate::name::{DomainName, InstanceName, NameError};
use crate::plan::Weights;
use crate::platform::Address;
use crate::time::Millis;

/// Settings with every value present and validated.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address for callers and operators.
    pub listen: Address,
    /// Address under which others reach `listen`.
    pub advertise: Address,
    /// Address for peers.
    pub peer: Address,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Weights of the scheduler's goals, relative to each other.
    pub weights: Weights,
    /// Budget of requests to the table.
    pub budget: Budget,
    /// Limits of the server.
    pub limits: Limits,
    /// Log settings.
    pub log: LogSettings,
    /// Output for trace spans.
    pub trace: TraceOutput,
    /// Maximum time to drain.
    pub drain: Millis,
}

impl Config {
    /// Applies overrides to a source and validates the result; later overrides take precedence over earlier ones.
    pub fn resolve(source: &Source, overrides: &[Override]) -> Result<Self, ConfigError> {
        let mut tree = serde_json::to_value(source.settings()).unwrap_or_default();
        let mut settings = source.settings().clone();
        for over in overrides {
            if Key::find(&over.path).is_none() {
                return Err(override_error(
                    over,
                    "unknown key; `yuccaridge check --keys` lists the valid keys",
                ));
            }
            set(&mut tree, &over.path, &over.value);
            settings = match Settings::deserialize_from(&tree) {
                Ok(settings) => settings,
                Err(e) => return Err(override_error(over, &e.to_string())),
            };
        }
        let validator = Validator {
            source,
            overrides,
            tree: &tree,
        };
        validator.check_ranges()?;
        validator.build(settings)
    }
}

impl Settings {
    fn deserialize_from(tree: &Value) -> Result<Self, serde_json::Error> {
        serde_json::from_value(tree.clone())
    }
}

fn override_error(over: &Override, message: &str) -> ConfigError {
    ConfigError::Override {
        path: over.path.clone(),
        origin: over.origin.clone(),
        message: message.to_owned(),
    }
}

fn get<'a>(tree: &'a Value, path: &str) -> Option<&'a Value> {
    let mut node = tree;
    for part in path.split('.') {
        node = node.get(part)?;
    }
    Some(node)
}

fn set(tree: &mut Value, path: &str, text: &str) {
    let mut node = tree;
    for part in path.split('.') {
        node = &mut node[part];
    }
    let is_number = Key::find(path).is_some_and(|key| key.range.is_some());
    *node = match serde_json::from_str(text) {
        Ok(Value::Number(number)) if is_number => Value::Number(number),
        _ => Value::String(text.to_owned()),
    };
}

/// Validates resolved settings; holds the source and the overrides so that errors name the origin of a value.
#[derive(Debug)]
struct Validator<'a> {
    source: &'a Source,
    overrides: &'a [Override],
    tree: &'a Value,
}

impl Validator<'_> {
    fn error(&self, path: &'static str, message: &str, help: &str) -> ConfigError {
        if let Some(over) = self.overrides.iter().rev().find(|over| over.path == path) {
            return override_error(over, message);
        }
        self.source
            .error_at(path, message, help)
            .unwrap_or_else(|| missing_error(path))
    }

    fn check_ranges(&self) -> Result<(), ConfigError> {
        for key in KEYS {
            let Some((min, max)) = key.range else { continue };
            let Some(value) = get(self.tree, key.path).and_then(Value::as_f64) else {
                continue;
            };
            if value < min || value > max {
                let message = format!(
                    "`{}` is {value}, but must be from {min} to {max} ({})",
                    key.path, key.unit
                );
                return Err(self.error(key.path, &message, key.about));
            }
        }
        Ok(())
    }

    fn parse_name<N>(&self, path: &'static str, text: Option<String>) -> Result<N, ConfigError>
    where
        N: TryFrom<String, Error = NameError>,
    {
        let text = text.ok_or_else(|| missing_error(path))?;
        N::try_from(text).map_err(|e| self.error(path, &e.to_string(), "Choose another name."))
    }

    fn build(&self, settings: Settings) -> Result<Config, ConfigError> {
        let listen = settings.listen.ok_or_else(|| missing_error("listen"))?;
        let advertise = settings.advertise.unwrap_or(listen);
        if advertise.ip().is_unspecified() {
            let message = "callers and peers cannot connect to an unspecified address";
            let path = if settings.advertise.is_some() {
                "advertise"
            } else {
                "listen"
            };
            return Err(self.error(path, message, "Set `advertise` to an address of this machine."));
        }
        Ok(Config {
            instance: self.parse_name("instance", settings.instance)?,
            domain: self.parse_name("domain", settings.domain)?,
            listen,
            advertise,
            peer: settings.peer.ok_or_else(|| missing_error("peer"))?,
            platform: PlatformAddresses {
                table: settings.platform.table.ok_or_else(|| missing_error("platform.table"))?,
                objects: settings
                    .platform
                    .objects
                    .ok_or_else(|| missing_error("platform.objects"))?,
                list: settings.platform.list.ok_or_else(|| missing_error("platform.list"))?,
            },
            timeouts: settings.timeouts,
            weights: settings.weights,
            budget: settings.budget,
            limits: settings.limits,
            log: settings.log,
            trace: settings.trace,
            drain: Millis::from_secs(settings.drain_s),
        })
    }
}

fn missing_error(path: &'static str) -> ConfigError {
    let variable = Key::find(path).map(Key::variable).unwrap_or_default();
    ConfigError::Missing { path, variable }
}
