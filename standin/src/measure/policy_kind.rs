//! The scheduling policies that are compared.

use yuccaridge::plan::{Policy, Scheduler, Weights};

use super::baseline::{Baseline, BaselineKind};
use super::trace_builder::pool;

/// Weights that the product's policy is measured with, named after the organisation that uses them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightProfile {
    /// Kickerdelar Norden: fragmentation counts more.
    Norden,
    /// Dakar Paws Alert: completion time counts more.
    Dakar,
}

impl WeightProfile {
    /// Name on the command line and in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Norden => "norden",
            Self::Dakar => "dakar",
        }
    }

    /// Weights of the objectives.
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

/// A policy to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The product's policy.
    Product(WeightProfile),
    /// First fit, in order of arrival.
    FirstFit,
    /// Best fit by the number of free accelerators.
    BestFit,
    /// Backfill by declared run times.
    Backfill,
}

impl PolicyKind {
    /// The policies that the product's is compared with.
    pub const BASELINES: [Self; 3] = [Self::FirstFit, Self::BestFit, Self::Backfill];

    /// Name of the policy in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product(_) => "ours",
            Self::FirstFit => "first_fit",
            Self::BestFit => "best_fit",
            Self::Backfill => "backfill",
        }
    }

    /// Name of the weights, `none` for the baselines.
    pub fn weights_name(self) -> &'static str {
        match self {
            Self::Product(profile) => profile.name(),
            _ => "none",
        }
    }

    /// Creates the policy, without endpoints or jobs.
    pub fn create(self) -> Box<dyn Policy> {
        match self {
            Self::Product(profile) => Box::new(Scheduler::new(pool(), profile.weights())),
            Self::FirstFit => Box::new(Baseline::new(BaselineKind::FirstFit)),
            Self::BestFit => Box::new(Baseline::new(BaselineKind::BestFit)),
            Self::Backfill => Box::new(Baseline::new(BaselineKind::Backfill)),
        }
    }
}
