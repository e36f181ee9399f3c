//! Subcommands of `standin`.

mod endpoint;
mod load;
mod platform;

use clap::Subcommand;
use miette::{IntoDiagnostic, Result};
use signal_hook::consts::TERM_SIGNALS;
use signal_hook::iterator::Signals;
use standin::measure::Measure;

/// Subcommand.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Demonstrate a call, a gang, a reclaimed guarantee and failures, and check each result.
    Demo,
    /// Generate load on running instances and check their answers.
    Load(load::LoadOptions),
    /// Serve the table, the object store and the list.
    Platform(platform::PlatformOptions),
    /// Serve one or more endpoints.
    #[command(name = "worker")]
    Endpoint(endpoint::EndpointOptions),
    /// Measure the system's decisions in virtual time.
    #[command(subcommand)]
    Measure(Measure),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(&self) -> Result<()> {
        match self {
            Self::Demo => standin::demo::run().into_diagnostic(),
            Self::Load(options) => options.run(),
            Self::Platform(options) => options.run(),
            Self::Endpoint(options) => options.run(),
            Self::Measure(measure) => measure.run(),
        }
    }
}

/// Waits for a termination signal.
fn wait_for_termination() -> Result<()> {
    let mut signals = Signals::new(TERM_SIGNALS).into_diagnostic()?;
    signals.forever().next();
    Ok(())
}
