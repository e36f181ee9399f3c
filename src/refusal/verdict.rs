//! Answer to a submission that was attempted at two instances.

use super::Fate;

/// Answer to a submission that was attempted here and offered to another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// This instance's own answer.
    Own,
    /// The answer of the other instance.
    Offered,
    /// The outcome is unknown: neither answer may be given.
    Unknown,
}

impl Verdict {
    /// Answer that is true whatever the two attempts have done.
    pub fn of(own: Fate, offered: Fate) -> Self {
        match (own, offered) {
            (Fate::Accepted, _) | (Fate::Unknown, Fate::Rejected | Fate::NotRun | Fate::Unknown) => Self::Own,
            (_, Fate::Accepted) | (Fate::NotRun, Fate::Rejected) => Self::Offered,
            (Fate::Rejected | Fate::NotRun, Fate::Unknown) => Self::Unknown,
            (Fate::Rejected, _) | (Fate::NotRun, Fate::NotRun) => Self::Own,
        }
    }
}
