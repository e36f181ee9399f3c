//! A platform and endpoints in this process, and instances as processes of their own.

use std::net::{SocketAddr, TcpListener};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::record::Entry;
use standin::server::{EndpointServer, PlatformServer};
use yuccaridge::api::JobView;
use yuccaridge::client::Client;
use yuccaridge::name::{InstanceName, JobId};
use yuccaridge::platform::{ListedEndpoint, Presence};
use yuccaridge::time::{Millis, SystemClock};

/// Longest time that a test waits for something; it only keeps a broken build from hanging.
const PATIENCE: Duration = Duration::from_mins(1);

/// Ports for instances: a range below the system's own choices.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 20_000;

/// One instance's process.
pub struct Instance {
    pub name: InstanceName,
    pub client: Client,
    child: Child,
}

impl Instance {
    /// Sends a signal, such as `STOP`, to this process only.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{signal}"), pid])
            .status()
            .expect("kill runs");
        assert!(status.success(), "the process is there");
    }

    /// Waits for the process to end; whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process is ours").success()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All of it.
pub struct Site {
    pub platform: PlatformServer,
    pub endpoints: Vec<EndpointServer>,
    pub instances: Vec<Instance>,
}

pub fn id(text: &str) -> JobId {
    text.parse().expect("a valid id")
}

/// A port below those that the system hands out by itself, so that no other socket of the test gets it meanwhile.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = process::id().wrapping_mul(64) % PORTS;
    loop {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + (start + step) % PORTS).expect("below 32768");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn endpoint(index: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("w{index}").parse().expect("a name"),
        address: ([127, 0, 0, 1], 0).into(),
        rack: "r0".parse().expect("a name"),
        domain: "d0".parse().expect("a name"),
        cores: 130,
        memory_mb: 262_144,
        accelerators: 8,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    }
}

/// Waits until something holds.
pub fn until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        sleep(Duration::from_millis(20));
    }
}

impl Site {
    /// Starts endpoints and instances and puts the first ticket: pool `p`, team `a`, kinds `k` (batch) and `c` (call).
    pub fn start(endpoints: u16, instances: u16) -> Self {
        let platform = PlatformServer::start(([127, 0, 0, 1], 0).into()).expect("a platform");
        let clock = SystemClock::start();
        let endpoints: Vec<_> = (0..endpoints)
            .map(|index| EndpointServer::start(endpoint(index), 1.0, clock).expect("an endpoint"))
            .collect();
        for endpoint in &endpoints {
            platform.list_endpoint(endpoint.listed());
        }
        let mut site = Self {
            platform,
            endpoints,
            instances: Vec::new(),
        };
        for index in 0..instances {
            site.add_instance(&format!("i{index}"));
        }
        until("all sessions", || {
            site.instances.iter().all(|instance| {
                instance
                    .client
                    .status()
                    .is_ok_and(|status| status.instances.len() == site.instances.len())
            })
        });
        site.instances[0]
            .client
            .put_ticket(1, ticket(64).to_string().as_bytes())
            .expect("the first ticket");
        until("a planner", || site.planner().is_some());
        site
    }

    fn add_instance(&mut self, name: &str) {
        let (listen, peer, platform) = (free_port(), free_port(), self.platform.address());
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccaridge"));
        command.arg("serve").stdin(Stdio::null()).stderr(Stdio::null());
        for (key, value) in [
            ("instance", name.to_owned()),
            ("domain", "d0".to_owned()),
            ("listen", listen.to_string()),
            ("peer", peer.to_string()),
            ("platform.table", platform.to_string()),
            ("platform.objects", platform.to_string()),
            ("platform.list", platform.to_string()),
        ] {
            command.args(["--set", &format!("{key}={value}")]);
        }
        let child = command.spawn().expect("the program starts");
        let client = Client::new(listen, Millis::from_secs(30));
        self.instances.push(Instance {
            name: name.parse().expect("a name"),
            client,
            child,
        });
    }

    /// Index of the instance that plans pool `p`, as the first one that answers sees it.
    pub fn planner(&self) -> Option<usize> {
        let status = self
            .instances
            .iter()
            .find_map(|instance| instance.client.status().ok())?;
        let holder = status.pools.into_values().next().flatten()?;
        self.instances.iter().position(|instance| instance.name == holder)
    }

    /// Index of an instance that does not plan pool `p`.
    pub fn bystander(&self) -> usize {
        let planner = self.planner().expect("a planner");
        (planner + 1) % self.instances.len()
    }

    /// Waits for a job's end at one instance.
    pub fn end_of(&self, instance: usize, job: &JobId) -> JobView {
        let mut last = None;
        until("the end of a job", || {
            let view = self.instances[instance].client.job(job, Millis::from_secs(5)).ok();
            let ended = view.as_ref().is_some_and(|view| view.outcome.is_some());
            last = view;
            ended
        });
        last.expect("a view")
    }

    /// What the endpoints did for a job.
    pub fn record(&self, job: &JobId) -> Vec<Entry> {
        self.endpoints
            .iter()
            .flat_map(EndpointServer::record)
            .filter(|entry| entry.job == *job)
            .collect()
    }
}

/// A ticket with this quota for the team.
pub fn ticket(quota: u32) -> Value {
    json!({ "objects": {
        "pool": { "p": { "domains": ["d0"] } },
        "kind": { "k": { "class": "batch" }, "c": { "class": "call" } },
        "team": { "a": { "quota": quota, "kinds": ["k", "c"] } },
    } })
}

/// A batch job that works for so long.
pub fn gang(members: u16, work_ms: u64) -> Vec<u8> {
    let shape = json!({ "members": members, "accelerators": 4, "adjacent": "rack" });
    let body = json!({
        "team": "a", "kind": "k", "class": "batch", "idempotent": true, "shape": shape,
        "payload": { "work_ms": work_ms, "answer": "done" },
    });
    body.to_string().into_bytes()
}

/// A call that works for so long.
pub fn call(idempotent: bool, work_ms: u64) -> Vec<u8> {
    let body = json!({
        "team": "a", "kind": "c", "class": "call", "idempotent": idempotent,
        "payload": { "work_ms": work_ms, "answer": "done" },
    });
    body.to_string().into_bytes()
}
