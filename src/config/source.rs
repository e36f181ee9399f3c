//! A settings file with the locations of its keys.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};

use super::{ConfigError, KEYS, Key, Location, Settings};

/// Parsed settings and the location of each key in the text.
#[derive(Debug, Clone)]
pub struct Source {
    name: String,
    text: String,
    locations: BTreeMap<String, Range>,
    settings: Settings,
}

/// Allows comments and trailing commas, but none of the parser's other extensions to JSON.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

impl Source {
    /// Reads and parses a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(source) => Err(ConfigError::Read { path: name, source }),
        }
    }

    /// Parses a text; `name` appears in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, ConfigError> {
        let mut source = Self {
            name: name.to_owned(),
            text: text.to_owned(),
            locations: BTreeMap::new(),
            settings: Settings::default(),
        };
        let parsed = match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
            Ok(parsed) => parsed.value,
            Err(e) => return Err(source.syntax_error(&e)),
        };
        let Some(Value::Object(object)) = parsed else {
            let range = parsed.map_or(Range::new(0, 0), |value| value.range());
            return Err(source.error(
                range,
                "the settings must be a JSON object",
                "Put the keys between { and }.",
            ));
        };
        source.collect_locations("", &object)?;
        match parse_to_serde_value(text, &parse_options()) {
            Ok(settings) => source.settings = settings,
            Err(e) => return Err(source.syntax_error(&e)),
        }
        Ok(source)
    }

    /// Settings as written in the text.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Creates an error located at a key; `None` if the text does not set the key.
    pub fn error_at(&self, path: &str, message: &str, help: &str) -> Option<ConfigError> {
        let range = self.locations.get(path)?;
        Some(self.error(*range, message, help))
    }

    fn collect_locations(&mut self, prefix: &str, object: &Object<'_>) -> Result<(), ConfigError> {
        for property in &object.properties {
            let path = format!("{prefix}{}", property.name.as_str());
            if self.locations.contains_key(&path) {
                return Err(self.error(
                    name_range(property),
                    &format!("`{path}` is set twice"),
                    "Remove one of the two.",
                ));
            }
            if Key::find(&path).is_some() {
                self.locations.insert(path, property.value.range());
                continue;
            }
            let Value::Object(inner) = &property.value else {
                return Err(self.unknown_key(&path, property));
            };
            if !Key::is_section(&path) {
                return Err(self.unknown_key(&path, property));
            }
            self.locations.insert(path.clone(), property.value.range());
            self.collect_locations(&format!("{path}."), inner)?;
        }
        Ok(())
    }

    fn unknown_key(&self, path: &str, property: &ObjectProp<'_>) -> ConfigError {
        let help = match similar_key(path) {
            Some(near) => format!("Did you mean `{near}`?"),
            None => "`yuccaridge check --keys` lists the valid keys.".to_owned(),
        };
        let message = if Key::is_section(path) {
            format!("`{path}` must be an object")
        } else {
            format!("unknown key `{path}`")
        };
        self.error(name_range(property), &message, &help)
    }

    fn syntax_error(&self, e: &ParseError) -> ConfigError {
        self.error(
            e.range(),
            &e.kind().to_string(),
            "Correct the syntax or the value here.",
        )
    }

    fn error(&self, range: Range, message: &str, help: &str) -> ConfigError {
        let before = &self.text[..range.start];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        ConfigError::Text {
            message: message.to_owned(),
            help: help.to_owned(),
            location: Box::new(Location {
                source: self.name.clone(),
                text: self.text.clone(),
                start: range.start,
                end: range.end,
                line: before.matches('\n').count() + 1,
                column: before[line_start..].chars().count() + 1,
            }),
        }
    }
}

fn name_range(property: &ObjectProp<'_>) -> Range {
    property.name.range()
}

/// Suggests a key for an unknown path: the one whose last part equals that of `path` or shares the longest prefix of
/// more than 3 characters with it.
fn similar_key(path: &str) -> Option<&'static str> {
    let last = path.rsplit('.').next().unwrap_or(path);
    let mut best = None;
    let mut longest = 3;
    for key in KEYS {
        let name = key.path.rsplit('.').next().unwrap_or(key.path);
        let shared = name.chars().zip(last.chars()).take_while(|(a, b)| a == b).count();
        if shared > longest || (name == last && best.is_none()) {
            longest = shared;
            best = Some(key.path);
        }
    }
    best
}
