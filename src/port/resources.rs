//! Amounts of resources.

/// Resources that an endpoint offers or a task needs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Processor share, in thousandths of a core.
    pub millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Largest amounts; every need fits.
    pub const ALL: Self = Self {
        millicores: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };

    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Self) -> bool {
        self.millicores >= need.millicores && self.memory_mb >= need.memory_mb && self.accelerators >= need.accelerators
    }

    /// Number of times that `need` fits into these resources, at most `max`.
    pub fn fit_count(&self, need: &Self, max: u32) -> u32 {
        let ratio = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::from(max));
        ratio(self.millicores, need.millicores)
            .min(ratio(self.memory_mb, need.memory_mb))
            .min(ratio(self.accelerators, need.accelerators))
            .min(u64::from(max)) as u32
    }

    /// Adds `other`, saturating at the largest value.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
