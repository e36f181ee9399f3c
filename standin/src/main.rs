//! The stand-in program.

mod command;

use clap::Parser;
use miette::Result;

use command::Command;

/// Stand-ins for the platform and the endpoints, and the tools that measure the product.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

fn main() -> Result<()> {
    Options::parse().command.run()
}
