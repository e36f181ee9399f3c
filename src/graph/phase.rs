//! Phases of jobs.

/// Phase of a job, as reported to callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Done,
    /// A task has failed as many times as the queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl Phase {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Byte that encodes the phase in a row.
    pub fn code(self) -> u8 {
        match self {
            Self::Queued => b'q',
            Self::Running => b'r',
            Self::Done => b'd',
            Self::Failed => b'f',
            Self::Cancelled => b'c',
        }
    }

    /// Decodes the byte of a row.
    pub fn from_code(code: u8) -> Option<Self> {
        [Self::Queued, Self::Running, Self::Done, Self::Failed, Self::Cancelled]
            .into_iter()
            .find(|phase| phase.code() == code)
    }
}
