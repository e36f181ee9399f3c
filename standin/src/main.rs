//! The `standin` command.

mod command;

use clap::Parser;
use miette::Result;

use command::Command;

/// Stand-ins for the platform and the endpoints, with demo, load and measuring tools.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

fn main() -> Result<()> {
    Options::parse().command.run()
}
