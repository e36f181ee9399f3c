//! What became of a submission at one instance.

/// What became of a submission at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// The job is stored.
    Accepted,
    /// The submission is not allowed; nothing was done.
    Rejected,
    /// Refused for now; nothing was done.
    NotRun,
    /// The job may be stored.
    Unknown,
}

impl Fate {
    /// Fate that a status code of HTTP tells.
    pub fn of_status(status: u16) -> Self {
        match status {
            200..=299 => Self::Accepted,
            429 | 503 => Self::NotRun,
            400..=499 => Self::Rejected,
            _ => Self::Unknown,
        }
    }

    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Rejected => "rejected",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        }
    }
}
