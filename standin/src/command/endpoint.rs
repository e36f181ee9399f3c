//! `standin worker`.

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

/// Pause between two attempts to enter the list.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time limit of one attempt to enter the list.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// What endpoints are like.
#[derive(Debug, Args)]
pub struct FleetOptions {
    /// Name of the endpoint; with several, the start of their names.
    #[arg(long, default_value = "w")]
    name: String,
    /// Rack; with several, the start of their names.
    #[arg(long, default_value = "r")]
    rack: String,
    /// Failure domain; with several, the start of their names.
    #[arg(long, default_value = "d")]
    domain: String,
    /// Endpoints in a rack.
    #[arg(long, default_value_t = 8)]
    rack_size: u16,
    /// Failure domains over which the racks are spread.
    #[arg(long, default_value_t = 1)]
    domains: u16,
    /// Cores of an endpoint.
    #[arg(long, default_value_t = 130)]
    cores: u32,
    /// Memory of an endpoint, in megabytes.
    #[arg(long, default_value_t = 262_144)]
    memory_mb: u64,
    /// Accelerators of an endpoint.
    #[arg(long, default_value_t = 8)]
    accelerators: u16,
    /// Tasks and calls that an endpoint runs at once.
    #[arg(long, default_value_t = 8)]
    slots: u16,
    /// Connections that an endpoint takes at once.
    #[arg(long, default_value_t = 60)]
    connections: u16,
    /// Speeds of the endpoints, repeated in turn.
    #[arg(long, value_delimiter = ',', default_value = "1.0")]
    speeds: Vec<f64>,
}

impl FleetOptions {
    /// Starts endpoints on this address; each gets the next port, or an ephemeral one if the port is 0.
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
    /// Address to listen on; further endpoints take the ports after it.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Platform whose list the endpoints enter.
    #[arg(long)]
    platform: SocketAddr,
    /// Number of endpoints.
    #[arg(long, default_value_t = 1)]
    count: u16,
    #[command(flatten)]
    fleet: FleetOptions,
}

impl EndpointOptions {
    /// Serves until the process is told to end.
    pub fn run(&self) -> Result<()> {
        let endpoints = self.fleet.start(self.listen, self.count)?;
        for endpoint in &endpoints {
            self.register(&endpoint.listed())?;
            println!("endpoint {} listens on {}", endpoint.listed().name, endpoint.address());
        }
        wait_for_termination()
    }

    /// Enters the list, waiting for the platform if it is not there yet.
    fn register(&self, listed: &ListedEndpoint) -> Result<()> {
        let body = serde_json::to_vec(listed).into_diagnostic()?;
        loop {
            let answer = attohttpc::post(format!("http://{}/v1/list/workers", self.platform))
                .timeout(REGISTER_TIMEOUT)
                .bytes(&body)
                .send();
            match answer {
                Ok(answer) if answer.is_success() => return Ok(()),
                Ok(answer) => miette::bail!("the platform refused {}: {}", listed.name, answer.status()),
                Err(error) => log::warn!("platform is not reached yet: {error}"),
            }
            thread::sleep(RETRY_DELAY);
        }
    }
}
