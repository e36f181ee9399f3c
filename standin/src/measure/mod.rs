//! Measurements of the product's decisions, in virtual time and without a network.

mod baseline;
pub mod capacity;
mod claim;
mod delay;
mod execute;
mod fit;
mod fleet_capacity;
mod plot;
pub mod policy;
pub mod policy_kind;
pub mod replay;
mod replay_job;
mod report;
mod routing;
pub mod scenario;
pub mod stats;
pub mod target;
pub mod trace;
mod trace_builder;
pub mod violation;

use clap::Subcommand;

/// What to measure.
#[derive(Debug, Clone, Subcommand)]
pub enum Measure {
    /// Compare the product's scheduling policy with baselines on generated traces.
    Policy(policy::PolicyArgs),
    /// Measure what an instance costs, by the size of the pool that it plans.
    Capacity(capacity::CapacityArgs),
    /// Compare ways to route calls.
    Route(routing::RouteArgs),
}

impl Measure {
    /// Measures and prints.
    pub fn run(&self) -> miette::Result<()> {
        match self {
            Self::Policy(args) => args.run(),
            Self::Capacity(args) => args.run(),
            Self::Route(args) => {
                args.run();
                Ok(())
            }
        }
    }
}
