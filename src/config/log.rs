//! Logs and traces.

use serde::{Deserialize, Serialize};

/// Form of log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Plain,
    /// One JSON object a line.
    Json,
}

/// Least severe level that is written.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what needs a person.
    Error,
    /// Also what may need one.
    Warn,
    /// Also each life cycle step.
    #[default]
    Info,
    /// Also each request.
    Debug,
    /// Everything.
    Trace,
}

/// Log settings.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Form of lines.
    pub format: LogFormat,
    /// Least level.
    pub level: LogLevel,
}

/// Where spans go.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TraceOutput {
    /// Nowhere; `traceparent` is still passed on.
    #[default]
    Off,
    /// To standard error, one JSON object a line.
    Stderr,
    /// Through the log, at level `info`.
    Log,
}
