//! Table of all settings keys.

/// A settings key with its description, unit and range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    /// Path: the names of the sections and of the key, joined by dots.
    pub path: &'static str,
    /// Description for operators; shown by `check --keys`, and as help when a value is out of range.
    pub about: &'static str,
    /// Unit of a number; format or possible values of a text.
    pub unit: &'static str,
    /// Smallest and largest number allowed; `None` for a text.
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
    text("instance", "Name of this instance; must be unique.", "name"),
    text("domain", "Failure domain of this instance.", "name"),
    text("listen", "Address for callers and operators.", "IP:PORT"),
    text(
        "advertise",
        "Address under which others reach `listen`; `listen` itself by default.",
        "IP:PORT",
    ),
    text("peer", "Address for the other instances.", "IP:PORT"),
    text("platform.table", "Address of the platform's table.", "IP:PORT"),
    text("platform.objects", "Address of the platform's object store.", "IP:PORT"),
    text(
        "platform.list",
        "Address of the platform's list of instances and endpoints.",
        "IP:PORT",
    ),
    number(
        "timeouts.connect_ms",
        "Timeout for opening a connection.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.table_ms",
        "Timeout of a request to the table.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.objects_ms",
        "Timeout of a request to the object store.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.list_ms",
        "Timeout of a request for the list.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.worker_ms",
        "Timeout of a command or report request to an endpoint.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number(
        "timeouts.call_ms",
        "Timeout of a call whose caller gave no deadline.",
        "milliseconds",
        10.0,
        600_000.0,
    ),
    number("weights.completion", "Weight of completion time.", "weight", 0.0, 1.0),
    number("weights.fragmentation", "Weight of fragmentation.", "weight", 0.0, 1.0),
    number(
        "budget.writes",
        "Writes to the table by all instances together.",
        "per second",
        1.0,
        10_000.0,
    ),
    number(
        "budget.reads",
        "Reads from the table by all instances together.",
        "per second",
        1.0,
        100_000.0,
    ),
    number(
        "limits.connections",
        "Maximum number of requests read or answered at once.",
        "requests",
        1.0,
        10_000.0,
    ),
    number(
        "limits.body_bytes",
        "Maximum size of a request's body.",
        "bytes",
        1024.0,
        16_777_216.0,
    ),
    number(
        "limits.held_bytes",
        "Maximum number of bytes that the bodies of all requests hold together.",
        "bytes",
        33_554_432.0,
        17_179_869_184.0,
    ),
    number(
        "limits.header_ms",
        "Time within which a request's header and body must arrive.",
        "milliseconds",
        100.0,
        60_000.0,
    ),
    number(
        "limits.waiting",
        "Maximum number of requests that wait for an answer at once.",
        "requests",
        1.0,
        10_000.0,
    ),
    text("log.format", "Format of log lines.", "plain, json"),
    text(
        "log.level",
        "Least severe level that is logged.",
        "error, warn, info, debug, trace",
    ),
    text("trace", "Output for trace spans.", "off, stderr, log"),
    number(
        "drain_s",
        "Maximum time to drain, after which the process ends.",
        "seconds",
        1.0,
        3600.0,
    ),
];

impl Key {
    /// Looks up the key with this path.
    pub fn find(path: &str) -> Option<&'static Self> {
        KEYS.iter().find(|key| key.path == path)
    }

    /// Whether `path` is a section, that is, contains keys.
    pub fn is_section(path: &str) -> bool {
        KEYS.iter()
            .any(|key| key.path.strip_prefix(path).is_some_and(|rest| rest.starts_with('.')))
    }

    /// Name of the environment variable that overrides the key.
    pub fn variable(&self) -> String {
        format!("{}{}", super::ENV_PREFIX, self.path.replace('.', "_").to_uppercase())
    }
}
