//! Whether a unit may claim resources that others use.

use super::rank::Rank;

/// Whether a unit may start where there is no room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimChance {
    /// It may not.
    None,
    /// If the units that it stops cost little.
    Cheap,
    /// At any cost, if it is within the guarantee of its team.
    Due,
}

impl ClaimChance {
    /// Chance of a unit of a job with this rank.
    pub fn of(rank: &Rank, guarantee_due: bool) -> Self {
        match (rank.is_urgent(), guarantee_due) {
            (true, true) => Self::Due,
            (true, false) if !rank.is_late() => Self::Cheap,
            _ => Self::None,
        }
    }
}
