//! Keys of the settings.

/// A key: its path, meaning, unit and range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    /// Path, sections joined by dots.
    pub path: &'static str,
    /// Meaning, for the reader of the settings.
    pub about: &'static str,
    /// Unit, or the form of a text.
    pub unit: &'static str,
    /// Least and greatest number; `None` for a text.
    pub range: Option<(f64, f64)>,
}

const fn text(path: &'static str, about: &'static str, unit: &'static str) -> Key {
    Key {
        path,
        about,
        unit,
        range: None,
    }
}

const fn number(path: &'static str, about: &'static str, unit: &'static str, min: f64, max: f64) -> Key {
    Key {
        path,
        about,
        unit,
        range: Some((min, max)),
    }
}

/// All keys.
pub const KEYS: &[Key] = &[
    text("instance", "Name of this instance; differs on each one.", "name"),
    text("domain", "Failure domain of this instance.", "name"),
    text("listen", "Where callers and operators connect.", "IP:PORT"),
    text(
        "advertise",
        "Where others reach `listen`; `listen` itself if absent.",
        "IP:PORT",
    ),
    text("peer", "Where the other instances connect.", "IP:PORT"),
    text("platform.table", "The platform's table service.", "IP:PORT"),
    text("platform.objects", "The platform's object store.", "IP:PORT"),
    text(
        "platform.list",
        "The platform's list of instances and endpoints.",
        "IP:PORT",
    ),
    number(
        "timeouts.connect_ms",
        "To open a connection.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.table_ms",
        "Request to the table.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.objects_ms",
        "Request to the object store.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.list_ms",
        "Request for the list.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.worker_ms",
        "Command or report request to an endpoint.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.call_ms",
        "Call whose caller gave no deadline.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "weights.completion",
        "How much completion time counts.",
        "weight",
        0.0,
        1.0,
    ),
    number(
        "weights.fragmentation",
        "How much fragmentation counts.",
        "weight",
        0.0,
        1.0,
    ),
    number(
        "budget.writes",
        "Writes to the table, all instances together.",
        "per second",
        1.0,
        10_000.0,
    ),
    number(
        "budget.reads",
        "Reads from the table, all instances together.",
        "per second",
        1.0,
        100_000.0,
    ),
    number(
        "limits.connections",
        "Requests read or answered at once.",
        "requests",
        1.0,
        10_000.0,
    ),
    number(
        "limits.body_bytes",
        "Size of a request's body.",
        "bytes",
        1024.0,
        16_777_216.0,
    ),
    number(
        "limits.header_ms",
        "Time for a request to arrive.",
        "milliseconds",
        100.0,
        60_000.0,
    ),
    number(
        "limits.waiting",
        "Requests that wait for an answer at once.",
        "requests",
        1.0,
        10_000.0,
    ),
    text("log.format", "Form of log lines.", "plain, json"),
    text("log.level", "Least level written.", "error, warn, info, debug, trace"),
    text("trace", "Where spans go.", "off, stderr, log"),
    number(
        "drain_s",
        "Time for a drain, after which the process ends.",
        "seconds",
        1.0,
        3600.0,
    ),
];

impl Key {
    /// The key with this path.
    pub fn find(path: &str) -> Option<&'static Self> {
        KEYS.iter().find(|key| key.path == path)
    }

    /// Whether some key lies in the section `path`.
    pub fn is_section(path: &str) -> bool {
        KEYS.iter()
            .any(|key| key.path.strip_prefix(path).is_some_and(|rest| rest.starts_with('.')))
    }

    /// Environment variable that overrides the key.
    pub fn variable(&self) -> String {
        format!("{}{}", super::ENV_PREFIX, self.path.replace('.', "_").to_uppercase())
    }
}
