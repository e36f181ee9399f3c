//! Capacity and need.

/// Amounts of what an endpoint offers or a task needs.
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
    /// More than anything needs.
    pub const ALL: Self = Self {
        millicores: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };

    /// Whether `need` fits.
    pub fn fits(&self, need: &Self) -> bool {
        self.millicores >= need.millicores && self.memory_mb >= need.memory_mb && self.accelerators >= need.accelerators
    }

    /// How many times `need` fits, up to `most`.
    pub fn fit_count(&self, need: &Self, most: u32) -> u32 {
        let ratio = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::from(most));
        ratio(self.millicores, need.millicores)
            .min(ratio(self.memory_mb, need.memory_mb))
            .min(ratio(self.accelerators, need.accelerators))
            .min(u64::from(most)) as u32
    }

    /// Adds `other`.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Takes `other` away; amounts stop at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
