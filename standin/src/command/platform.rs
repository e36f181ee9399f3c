//! The subcommand `standin platform`.

use std::net::SocketAddr;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use standin::server::PlatformServer;

use super::endpoint::FleetOptions;
use super::wait_for_termination;

/// Options of `standin platform`.
#[derive(Debug, Args)]
pub struct PlatformOptions {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7100")]
    listen: SocketAddr,
    /// Number of endpoints to start in this process, on ephemeral ports.
    #[arg(long = "workers", default_value_t = 0)]
    endpoints: u16,
    #[command(flatten)]
    fleet: FleetOptions,
}

impl PlatformOptions {
    /// Serves the platform until a termination signal.
    pub fn run(&self) -> Result<()> {
        let platform = PlatformServer::start(self.listen).into_diagnostic()?;
        let endpoints = self.fleet.start(SocketAddr::new(self.listen.ip(), 0), self.endpoints)?;
        for endpoint in &endpoints {
            platform.list_endpoint(endpoint.listed());
        }
        println!("platform listens on {}", platform.address());
        wait_for_termination()
    }
}
