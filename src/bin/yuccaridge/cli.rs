//! Definition of the command line.

use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use yuccaridge::api::WAIT_SECONDS_MAX;
use yuccaridge::name::JobId;
use yuccaridge::platform::Address;

const EXIT_CODES: &str = "\
Exit codes:
  0  success; for a job: accepted, not yet ended, or completed
  1  internal failure, or a file cannot be read
  2  invalid command line
  3  refused; repeating the same request does not help
  4  not run; the same request may be repeated
  5  result unknown; ask again with the same id or number
  6  the job ended without a complete answer: failed, not run or cancelled
  7  invalid settings or ticket file";

const SERVE_EXAMPLES: &str = "\
Examples:
  yuccaridge serve --settings settings/norden.jsonc
  YUCCARIDGE_INSTANCE=malmo-2 yuccaridge serve --settings settings/norden.jsonc --set drain_s=30";

const CHECK_EXAMPLES: &str = "\
Examples:
  yuccaridge check --settings settings/norden.jsonc
  yuccaridge check --keys";

const SUBMIT_EXAMPLES: &str = "\
Examples:
  yuccaridge submit photo-check-7 --file job.json
  yuccaridge submit photo-check-7 --file - --wait 60 < job.json

The id is yours to choose. Submitting the same file again under the same id is safe: the job runs once.";

const JOB_EXAMPLES: &str = "\
Examples:
  yuccaridge job photo-check-7
  yuccaridge job photo-check-7 --wait 60 --json";

const TICKET_EXAMPLES: &str = "\
Examples:
  yuccaridge ticket validate 4711.json
  yuccaridge ticket apply 4711 4711.json
  yuccaridge ticket show 4711";

/// Schedules multi-accelerator jobs for several teams.
#[derive(Debug, Parser)]
#[command(name = "yuccaridge", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// Print output and errors as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Sources of the settings.
#[derive(Debug, Args)]
pub struct SettingsOptions {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE", env = "YUCCARIDGE_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// Override a setting; takes precedence over environment variables, which take precedence over the file.
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = parse_key_value)]
    pub sets: Vec<(String, String)>,
}

/// Server to which requests are sent.
#[derive(Debug, Args)]
pub struct ServerOptions {
    /// Address of an instance or a load balancer.
    #[arg(
        long,
        value_name = "IP:PORT",
        env = "YUCCARIDGE_SERVER",
        default_value = "127.0.0.1:7400"
    )]
    pub server: Address,
    /// Seconds to wait for a response.
    #[arg(long, value_name = "SECONDS", default_value_t = 120, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub timeout: u64,
}

/// Commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an instance.
    #[command(after_help = SERVE_EXAMPLES)]
    Serve(SettingsOptions),
    /// Check settings and print the effective ones, or list all keys.
    #[command(after_help = CHECK_EXAMPLES)]
    Check {
        #[command(flatten)]
        options: SettingsOptions,
        /// List all keys with meaning, unit and range.
        #[arg(long)]
        keys: bool,
    },
    /// Submit a job.
    #[command(after_help = SUBMIT_EXAMPLES)]
    Submit {
        /// Id of the job: 1 to 64 letters, digits, `.`, `_` and `-`.
        id: JobId,
        /// File with the job's body, or `-` for standard input.
        #[arg(long, value_name = "FILE")]
        file: PathBuf,
        /// Seconds to wait for the job's end.
        #[arg(long, value_name = "SECONDS", value_parser = wait_seconds_parser())]
        wait: Option<u64>,
        #[command(flatten)]
        server: ServerOptions,
    },
    /// Show a job.
    #[command(after_help = JOB_EXAMPLES)]
    Job {
        /// Id of the job.
        id: JobId,
        /// Seconds to wait for the job's end.
        #[arg(long, value_name = "SECONDS", value_parser = wait_seconds_parser())]
        wait: Option<u64>,
        #[command(flatten)]
        server: ServerOptions,
    },
    /// Cancel a job.
    #[command(after_help = "Example:\n  yuccaridge cancel photo-check-7")]
    Cancel {
        /// Id of the job.
        id: JobId,
        #[command(flatten)]
        server: ServerOptions,
    },
    /// Apply, show or validate change tickets.
    #[command(after_help = TICKET_EXAMPLES)]
    Ticket {
        #[command(subcommand)]
        command: TicketCommand,
    },
    /// Show the status of an instance.
    #[command(after_help = "Example:\n  yuccaridge status --server 10.0.0.1:7400")]
    Status {
        #[command(flatten)]
        server: ServerOptions,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  yuccaridge completions bash > yuccaridge.bash")]
    Completions {
        /// Shell to complete in.
        shell: Shell,
    },
}

/// Subcommands of `ticket`.
#[derive(Debug, Subcommand)]
pub enum TicketCommand {
    /// Send a ticket and wait until it is in force everywhere.
    Apply {
        /// Number of the ticket, greater than all previous ones.
        #[arg(value_parser = clap::value_parser!(u64).range(1..))]
        number: u64,
        /// File with the ticket's body, or `-` for standard input.
        file: PathBuf,
        #[command(flatten)]
        server: ServerOptions,
    },
    /// Show the state of a ticket.
    Show {
        /// Number of the ticket.
        #[arg(value_parser = clap::value_parser!(u64).range(1..))]
        number: u64,
        #[command(flatten)]
        server: ServerOptions,
    },
    /// Check the syntax of a ticket without sending it.
    Validate {
        /// File with the ticket's body, or `-` for standard input.
        file: PathBuf,
    },
}

fn wait_seconds_parser() -> clap::builder::RangedU64ValueParser<u64> {
    clap::value_parser!(u64).range(0..=WAIT_SECONDS_MAX)
}

fn parse_key_value(text: &str) -> Result<(String, String), String> {
    match text.split_once('=') {
        Some((key, value)) => Ok((key.to_owned(), value.to_owned())),
        None => Err("no `=` found; write KEY=VALUE, such as drain_s=30".to_owned()),
    }
}

/// Prints a completion script.
pub fn completions(shell: Shell) {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "yuccaridge", &mut script);
    out!("{}", String::from_utf8_lossy(&script));
}
