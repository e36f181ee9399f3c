//! The subcommand `standin worker`.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use standin::server::EndpointServer;
use yuccaridge::name::{DomainName, EndpointName, RackName};
use yuccaridge::platform::{Address, ListedEndpoint, Presence};
use yuccaridge::time::SystemClock;

use super::wait_for_termination;

/// Delay between attempts to register in the list.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time limit of one attempt to register in the list.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Options that describe the endpoints.
#[derive(Debug, Args)]
pub struct FleetOptions {
    /// Name of the endpoint; with several, the prefix of their names.
    #[arg(long, default_value = "w")]
    name: String,
    /// Rack; with several endpoints, the prefix of the rack names.
    #[arg(long, default_value = "r")]
    rack: String,
    /// Failure domain; with several endpoints, the prefix of the domain names.
    #[arg(long, default_value = "d")]
    domain: String,
    /// Endpoints per rack.
    #[arg(long, default_value_t = 8)]
    rack_size: u16,
    /// Number of failure domains over which the racks are spread.
    #[arg(long, default_value_t = 1)]
    domains: u16,
    /// Cores of each endpoint.
    #[arg(long, default_value_t = 130)]
    cores: u32,
    /// Memory of each endpoint, in megabytes.
    #[arg(long, default_value_t = 262_144)]
    memory_mb: u64,
    /// Accelerators of each endpoint.
    #[arg(long, default_value_t = 8)]
    accelerators: u16,
    /// Maximum number of concurrent tasks and calls on each endpoint.
    #[arg(long, default_value_t = 8)]
    slots: u16,
    /// Maximum number of concurrent connections to each endpoint.
    #[arg(long, default_value_t = 60)]
    connections: u16,
    /// Speeds of the endpoints, assigned in rotation.
    #[arg(long, value_delimiter = ',', default_value = "1.0")]
    speeds: Vec<f64>,
}

impl FleetOptions {
    /// Starts endpoints on consecutive ports from this address on, or on ephemeral ports if its port is 0.
    pub fn start(&self, first: SocketAddr, count: u16) -> Result<Vec<EndpointServer>> {
        let clock = SystemClock::start();
        let mut endpoints = Vec::new();
        for index in 0..count {
            let mut address = first;
            if address.port() != 0 {
                address.set_port(address.port() + index);
            }
            let speed = self.speeds[usize::from(index) % self.speeds.len()];
            let listed = self.listed(address, index, count)?;
            endpoints.push(EndpointServer::start(listed, speed, clock).into_diagnostic()?);
        }
        Ok(endpoints)
    }

    fn listed(&self, address: Address, index: u16, count: u16) -> Result<ListedEndpoint> {
        let rack = index / self.rack_size.max(1);
        let domain = rack % self.domains.max(1);
        let numbered = |name: &str, number: u16| {
            if count > 1 {
                format!("{name}{number}")
            } else {
                name.to_owned()
            }
        };
        Ok(ListedEndpoint {
            name: EndpointName::new(numbered(&self.name, index)).into_diagnostic()?,
            address,
            rack: RackName::new(numbered(&self.rack, rack)).into_diagnostic()?,
            domain: DomainName::new(numbered(&self.domain, domain)).into_diagnostic()?,
            cores: self.cores,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
            slots: self.slots,
            connections: self.connections,
            presence: Presence::Live,
        })
    }
}

/// Options of `standin worker`.
#[derive(Debug, Args)]
pub struct EndpointOptions {
    /// Address to listen on; further endpoints use the ports that follow.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the platform in whose list the endpoints register.
    #[arg(long)]
    platform: SocketAddr,
    /// Number of endpoints.
    #[arg(long, default_value_t = 1)]
    count: u16,
    #[command(flatten)]
    fleet: FleetOptions,
}

impl EndpointOptions {
    /// Serves the endpoints until a termination signal.
    pub fn run(&self) -> Result<()> {
        let endpoints = self.fleet.start(self.listen, self.count)?;
        for endpoint in &endpoints {
            self.register(&endpoint.listed())?;
            println!("endpoint {} listens on {}", endpoint.listed().name, endpoint.address());
        }
        wait_for_termination()
    }

    /// Registers an endpoint in the list; retries while the platform is unreachable.
    fn register(&self, listed: &ListedEndpoint) -> Result<()> {
        let body = serde_json::to_vec(listed).into_diagnostic()?;
        loop {
            let answer = attohttpc::post(format!("http://{}/v1/list/workers", self.platform))
                .timeout(REGISTER_TIMEOUT)
                .bytes(&body)
                .send();
            match answer {
                Ok(answer) if answer.is_success() => return Ok(()),
                Ok(answer) => miette::bail!(
                    "the platform refused to list endpoint {}: {}",
                    listed.name,
                    answer.status()
                ),
                Err(error) => log::warn!("platform is unreachable; retrying: {error}"),
            }
            thread::sleep(RETRY_DELAY);
        }
    }
}
