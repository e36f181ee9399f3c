//! Platform, endpoints and instances in one process.

use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::{Duration, Instant};

use yuccaridge::api::JobView;
use yuccaridge::client::Client;
use yuccaridge::config::{Config, Origin, Override, Source};
use yuccaridge::instance::Daemon;
use yuccaridge::name::{InstanceName, JobId, PoolName};
use yuccaridge::platform::{ListedEndpoint, Presence};
use yuccaridge::time::{Millis, SystemClock};

use super::DemoError;
use crate::record::{Entry, TaskEvent};
use crate::server::{EndpointServer, PlatformServer};

/// Time limit of each wait in the demo.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An instance in this process, running or stopped.
#[derive(Debug)]
pub struct DemoInstance {
    /// Name.
    pub name: InstanceName,
    /// Client connected to it.
    pub client: Client,
    daemon: Option<Daemon>,
}

/// Platform, endpoints and instances of the demo.
#[derive(Debug)]
pub struct Site {
    platform: PlatformServer,
    endpoints: Vec<EndpointServer>,
    /// Instances, including stopped ones.
    pub instances: Vec<DemoInstance>,
}

fn free_port() -> Result<SocketAddr, DemoError> {
    Ok(TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr())?)
}

fn listed(index: u16) -> Result<ListedEndpoint, DemoError> {
    Ok(ListedEndpoint {
        name: format!("worker-{index}").parse()?,
        address: ([127, 0, 0, 1], 0).into(),
        rack: "rack-0".parse()?,
        domain: "south".parse()?,
        cores: 130,
        memory_mb: 262_144,
        accelerators: 8,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    })
}

impl Site {
    /// Starts the platform, one rack of endpoints and the named instances.
    pub fn start(endpoints: u16, instances: &[&str]) -> Result<Self, DemoError> {
        let platform = PlatformServer::start(([127, 0, 0, 1], 0).into())?;
        let clock = SystemClock::start();
        let mut site = Self {
            platform,
            endpoints: Vec::new(),
            instances: Vec::new(),
        };
        for index in 0..endpoints {
            let endpoint = EndpointServer::start(listed(index)?, 1.0, clock)?;
            site.platform.list_endpoint(endpoint.listed());
            site.endpoints.push(endpoint);
        }
        for name in instances {
            site.add_instance(name)?;
        }
        site.wait_until("not every instance sees all others", |site| {
            let mut clients = site.instances.iter().map(|instance| &instance.client);
            clients.all(|client| {
                client
                    .status()
                    .is_ok_and(|status| status.instances.len() == instances.len())
            })
        })?;
        Ok(site)
    }

    fn add_instance(&mut self, name: &str) -> Result<(), DemoError> {
        let (listen, platform) = (free_port()?, self.platform.address().to_string());
        let mut overrides = Vec::new();
        for (path, value) in [
            ("instance", name.to_owned()),
            ("domain", "south".to_owned()),
            ("listen", listen.to_string()),
            ("peer", free_port()?.to_string()),
            ("platform.table", platform.clone()),
            ("platform.objects", platform.clone()),
            ("platform.list", platform),
        ] {
            overrides.push(Override {
                path: path.to_owned(),
                value,
                origin: Origin::CommandLine,
            });
        }
        let config = Config::resolve(&Source::parse("demo", "{}")?, &overrides)?;
        let daemon = Some(Daemon::start(&config)?);
        let client = Client::new(listen, Millis::from_secs(30));
        self.instances.push(DemoInstance {
            name: name.parse()?,
            client,
            daemon,
        });
        Ok(())
    }

    /// Waits until `holds` returns true; fails with `failure` at the time limit.
    pub fn wait_until<F>(&self, failure: &str, mut holds: F) -> Result<(), DemoError>
    where
        F: FnMut(&Self) -> bool,
    {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(DemoError::CheckFailed(failure.to_owned()));
            }
            sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Running instances.
    pub fn running(&self) -> Vec<&DemoInstance> {
        self.instances
            .iter()
            .filter(|instance| instance.daemon.is_some())
            .collect()
    }

    /// Instance that plans a pool.
    pub fn planner(&self, pool: &PoolName) -> Option<&DemoInstance> {
        let running = self.running();
        let status = running.iter().find_map(|instance| instance.client.status().ok())?;
        let holder = status.pools.get(pool)?.clone()?;
        running.into_iter().find(|instance| instance.name == holder)
    }

    /// A running instance that does not plan a pool.
    pub fn non_planner(&self, pool: &PoolName) -> Option<&DemoInstance> {
        let holder = self.planner(pool)?.name.clone();
        self.running().into_iter().find(|instance| instance.name != holder)
    }

    /// Removes an instance's daemon, for the caller to stop.
    pub fn take_daemon(&mut self, name: &InstanceName) -> Option<Daemon> {
        self.instances
            .iter_mut()
            .find(|instance| instance.name == *name)?
            .daemon
            .take()
    }

    /// Waits for a job's outcome.
    pub fn wait_for_outcome(&self, client: &Client, job: &JobId) -> Result<JobView, DemoError> {
        let start = Instant::now();
        loop {
            let view = client.job(job, Millis::from_secs(5))?;
            if view.outcome.is_some() {
                return Ok(view);
            }
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(DemoError::CheckFailed(format!("job {job} did not end")));
            }
        }
    }

    /// Entries of a job in all endpoints' records.
    pub fn record(&self, job: &JobId) -> Vec<Entry> {
        self.endpoints
            .iter()
            .flat_map(EndpointServer::record)
            .filter(|entry| entry.job == *job)
            .collect()
    }

    /// Number of times that an event happened to a job's members.
    pub fn count(&self, job: &JobId, event: TaskEvent) -> usize {
        self.record(job).iter().filter(|entry| entry.event == event).count()
    }

    /// Stops everything.
    pub fn stop(mut self) {
        for instance in &mut self.instances {
            if let Some(daemon) = instance.daemon.take() {
                daemon.abort();
            }
        }
    }
}
