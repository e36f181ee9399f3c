//! The `yuccaridge` program: an instance of the scheduler, and its command line client.

#[macro_use]
mod print;

mod check;
mod cli;
mod exit;
mod requests;
mod serve;
mod ticket;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use exit::Exit;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let exit = match run(&cli) {
        Ok(exit) => exit,
        Err(failure) => failure.report(cli.json),
    };
    exit.into()
}

fn run(cli: &Cli) -> Result<Exit, exit::Failure> {
    match &cli.command {
        Command::Serve(options) => serve::run(options),
        Command::Check { options, keys } => check::run(options, *keys, cli.json),
        Command::Submit { id, file, wait, server } => requests::submit(server, id, file, *wait, cli.json),
        Command::Job { id, wait, server } => requests::job(server, id, *wait, cli.json),
        Command::Cancel { id, server } => requests::cancel(server, id, cli.json),
        Command::Ticket { command } => ticket::run(command, cli.json),
        Command::Status { server } => requests::status(server, cli.json),
        Command::Completions { shell } => {
            cli::completions(*shell);
            Ok(Exit::Success)
        }
    }
}
