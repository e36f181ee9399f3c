//! `standin worker`.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use standin::server::WorkerServer;
use yuccaridge::name::{DomainName, RackName, WorkerName};
use yuccaridge::platform::{Address, ListedWorker, Presence};
use yuccaridge::time::SystemClock;

use super::wait_for_end;

/// Pause between two attempts to enter the list.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time limit of one attempt to enter the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// What workers are like.
#[derive(Debug, Args)]
pub struct Fleet {
    /// Name of the worker; with several, the start of their names.
    #[arg(long, default_value = "w")]
    name: String,
    /// Rack; with several, the start of their names.
    #[arg(long, default_value = "r")]
    rack: String,
    /// Failure domain; with several, the start of their names.
    #[arg(long, default_value = "d")]
    domain: String,
    /// Workers in a rack.
    #[arg(long, default_value_t = 8)]
    rack_size: u16,
    /// Failure domains over which the racks are spread.
    #[arg(long, default_value_t = 1)]
    domains: u16,
    /// Cores of a worker.
    #[arg(long, default_value_t = 130)]
    cores: u32,
    /// Memory of a worker, in megabytes.
    #[arg(long, default_value_t = 262_144)]
    memory_mb: u64,
    /// Accelerators of a worker.
    #[arg(long, default_value_t = 8)]
    accelerators: u16,
    /// Tasks and calls that a worker runs at once.
    #[arg(long, default_value_t = 8)]
    slots: u16,
    /// Connections that a worker takes at once.
    #[arg(long, default_value_t = 60)]
    connections: u16,
    /// Speeds of the workers, repeated in turn.
    #[arg(long, value_delimiter = ',', default_value = "1.0")]
    speeds: Vec<f64>,
}

impl Fleet {
    /// Starts workers on this address; each gets the next port, or an ephemeral one if the port is 0.
    pub fn start(&self, first: SocketAddr, count: u16) -> Result<Vec<WorkerServer>> {
        let clock = SystemClock::start();
        let mut workers = Vec::new();
        for index in 0..count {
            let mut address = first;
            if address.port() != 0 {
                address.set_port(address.port() + index);
            }
            let speed = self.speeds[usize::from(index) % self.speeds.len()];
            let listed = self.listed(address, index, count)?;
            workers.push(WorkerServer::start(listed, speed, clock).into_diagnostic()?);
        }
        Ok(workers)
    }

    fn listed(&self, address: Address, index: u16, count: u16) -> Result<ListedWorker> {
        let rack = index / self.rack_size.max(1);
        let domain = rack % self.domains.max(1);
        let numbered = |name: &str, number: u16| {
            if count > 1 {
                format!("{name}{number}")
            } else {
                name.to_owned()
            }
        };
        Ok(ListedWorker {
            name: WorkerName::new(numbered(&self.name, index)).into_diagnostic()?,
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
pub struct WorkerOptions {
    /// Address to listen on; further workers take the ports after it.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Platform whose list the workers enter.
    #[arg(long)]
    platform: SocketAddr,
    /// Number of workers.
    #[arg(long, default_value_t = 1)]
    count: u16,
    #[command(flatten)]
    fleet: Fleet,
}

impl WorkerOptions {
    /// Serves until the process is told to end.
    pub fn run(&self) -> Result<()> {
        let workers = self.fleet.start(self.listen, self.count)?;
        for worker in &workers {
            self.enter_list(&worker.listed())?;
            println!("worker {} listens on {}", worker.listed().name, worker.address());
        }
        wait_for_end()
    }

    /// Enters the list, waiting for the platform if it is not there yet.
    fn enter_list(&self, listed: &ListedWorker) -> Result<()> {
        let body = serde_json::to_vec(listed).into_diagnostic()?;
        loop {
            let answer = attohttpc::post(format!("http://{}/v1/list/workers", self.platform))
                .timeout(LIST_TIMEOUT)
                .bytes(&body)
                .send();
            match answer {
                Ok(answer) if answer.is_success() => return Ok(()),
                Ok(answer) => miette::bail!("the platform refused {}: {}", listed.name, answer.status()),
                Err(error) => log::warn!("platform is not reached yet: {error}"),
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}
