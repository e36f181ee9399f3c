//! The stand-in program.

use clap::{Parser, Subcommand};
use standin::measure::Measure;

/// Stand-ins for the platform and the workers, and tools that measure the product.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measure the product's decisions in virtual time.
    #[command(subcommand)]
    Measure(Measure),
}

fn main() -> miette::Result<()> {
    match Cli::parse().command {
        Command::Measure(measure) => measure.run(),
    }
}
