//! The policies that are compared.

use yuccaridge::plan::{Policy, Scheduler, Weights};

use super::baseline::{Baseline, Rule};
use super::trace_builder::pool;

/// Whose weights the product's policy uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// Kickerdelar Norden: fragmentation counts more.
    Norden,
    /// Dakar Paws Alert: completion time counts more.
    Dakar,
}

impl Owner {
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
pub enum Contender {
    /// The product's own, with an owner's weights.
    Ours(Owner),
    /// First fit in order of arrival.
    FirstFit,
    /// Best fit by count.
    BestFit,
    /// Backfill with declared times.
    Backfill,
}

impl Contender {
    /// Baselines.
    pub const BASELINES: [Self; 3] = [Self::FirstFit, Self::BestFit, Self::Backfill];

    /// Name of the policy.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours(_) => "ours",
            Self::FirstFit => "first_fit",
            Self::BestFit => "best_fit",
            Self::Backfill => "backfill",
        }
    }

    /// Name of the weights; the baselines have none.
    pub fn weights(self) -> &'static str {
        match self {
            Self::Ours(owner) => owner.name(),
            _ => "none",
        }
    }

    /// A fresh policy.
    pub fn policy(self) -> Box<dyn Policy> {
        match self {
            Self::Ours(owner) => Box::new(Scheduler::new(pool(), owner.weights())),
            Self::FirstFit => Box::new(Baseline::new(Rule::FirstFit)),
            Self::BestFit => Box::new(Baseline::new(Rule::BestFit)),
            Self::Backfill => Box::new(Baseline::new(Rule::Backfill)),
        }
    }
}
