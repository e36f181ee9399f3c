//! Settings of logs and traces.

use serde::{Deserialize, Serialize};

/// Format of log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}

/// Least severe level that is logged.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only events that an operator must act on.
    Error,
    /// Also events that may need an operator.
    Warn,
    /// Also each life cycle event.
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
    /// Format of lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// Output for trace spans.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TraceOutput {
    /// None; the `traceparent` header is still propagated.
    #[default]
    Off,
    /// Standard error, one JSON object per line.
    Stderr,
    /// The log, at level `info`.
    Log,
}
