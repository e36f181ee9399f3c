//! The policies that are compared.

use yuccaridge::plan::{Policy, Scheduler, Weights};

use super::baseline::{Baseline, BaselineKind};
use super::trace_builder::pool;

/// Whose weights the product's policy uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightProfile {
    /// Kickerdelar Norden: fragmentation counts more.
    Norden,
    /// Dakar Paws Alert: completion time counts more.
    Dakar,
}

impl WeightProfile {
    /// Name as on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Norden => "norden",
            Self::Dakar => "dakar",
        }
    }

    /// The weights.
    pub fn weights(self) -> Weights {
        match self {
            Self::Norden => Weights {
                completion: 0.2,
                fragmentation: 0.8,
            },
            Self::Dakar => Weights {
                completion: 0.8,
                fragmentation: 0.2,
            },
        }
    }
}

/// One of the policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The product's own, with the weights of a profile.
    Product(WeightProfile),
    /// First fit in order of arrival.
    FirstFit,
    /// Best fit by count.
    BestFit,
    /// Backfill with declared times.
    Backfill,
}

impl PolicyKind {
    /// Baselines.
    pub const BASELINES: [Self; 3] = [Self::FirstFit, Self::BestFit, Self::Backfill];

    /// Name of the policy.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product(_) => "ours",
            Self::FirstFit => "first_fit",
            Self::BestFit => "best_fit",
            Self::Backfill => "backfill",
        }
    }

    /// Name of the weights; the baselines have none.
    pub fn weights_name(self) -> &'static str {
        match self {
            Self::Product(profile) => profile.name(),
            _ => "none",
        }
    }

    /// A fresh policy.
    pub fn create(self) -> Box<dyn Policy> {
        match self {
            Self::Product(profile) => Box::new(Scheduler::new(pool(), profile.weights())),
            Self::FirstFit => Box::new(Baseline::new(BaselineKind::FirstFit)),
            Self::BestFit => Box::new(Baseline::new(BaselineKind::BestFit)),
            Self::Backfill => Box::new(Baseline::new(BaselineKind::Backfill)),
        }
    }
}
