//! Measurements of scheduling, planning cost and call routing, in virtual time. Only the cost of an HTTP request is
//! measured over a network connection.

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

/// The measurement to run.
#[derive(Debug, Clone, Subcommand)]
pub enum Measure {
    /// Compare the product's scheduling policy with baselines on generated traces.
    Policy(policy::PolicyArgs),
    /// Measure the CPU time and requests of an instance for pools of different sizes.
    Capacity(capacity::CapacityArgs),
    /// Compare strategies for routing calls.
    Route(routing::RouteArgs),
}

impl Measure {
    /// Runs the measurement and prints the results.
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
