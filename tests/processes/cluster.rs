//! A platform and endpoints in the test process, and instances in processes of their own.

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

/// Time limit of each wait. It is reached only if the system is broken, so that a test fails instead of hanging.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// First port for instances; the range ends below the ephemeral ports of the operating system.
const FIRST_PORT: u32 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;

/// A process that runs an instance.
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
            .expect("the kill command starts");
        assert!(status.success(), "SIG{signal} was not delivered");
    }

    /// Waits for the process to exit; returns whether its exit code is 0.
    pub fn wait_for_exit(&mut self) -> bool {
        self.child
            .wait()
            .expect("the child process can be waited for")
            .success()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A platform with its endpoints and instances.
pub struct Cluster {
    pub platform: PlatformServer,
    pub endpoints: Vec<EndpointServer>,
    pub instances: Vec<Instance>,
}

pub fn id(text: &str) -> JobId {
    text.parse().expect("a valid id")
}

/// A loopback address with a free port below the ephemeral ports, so that no other socket of the test is given that port
/// before the instance binds it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = process::id().wrapping_mul(64) % PORT_COUNT;
    loop {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + (start + step) % PORT_COUNT).expect("ports are below 32,768");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn listed_endpoint(index: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("w{index}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 0).into(),
        rack: "r0".parse().expect("a valid name"),
        domain: "d0".parse().expect("a valid name"),
        cores: 130,
        memory_mb: 262_144,
        accelerators: 8,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    }
}

/// Waits until `condition` holds; `what` names it in the message of the failure.
pub fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        sleep(Duration::from_millis(20));
    }
}

impl Cluster {
    /// Starts endpoints and instances, puts the first ticket, and waits until pool `p` has a planner.
    pub fn start(endpoints: u16, instances: u16) -> Self {
        let platform = PlatformServer::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
        let clock = SystemClock::start();
        let endpoints: Vec<_> = (0..endpoints)
            .map(|index| EndpointServer::start(listed_endpoint(index), 1.0, clock).expect("the endpoint starts"))
            .collect();
        for endpoint in &endpoints {
            platform.list_endpoint(endpoint.listed());
        }
        let mut cluster = Self {
            platform,
            endpoints,
            instances: Vec::new(),
        };
        for index in 0..instances {
            cluster.add_instance(&format!("i{index}"));
        }
        wait_until("all instances to see each other", || {
            cluster.instances.iter().all(|instance| {
                instance
                    .client
                    .status()
                    .is_ok_and(|status| status.instances.len() == cluster.instances.len())
            })
        });
        cluster.instances[0]
            .client
            .put_ticket(1, ticket(64).to_string().as_bytes())
            .expect("the first ticket is accepted");
        wait_until("a planner", || cluster.planner().is_some());
        cluster
    }

    fn add_instance(&mut self, name: &str) {
        let (listen, peer, platform) = (free_address(), free_address(), self.platform.address());
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
        let child = command.spawn().expect("the instance starts");
        let client = Client::new(listen, Millis::from_secs(30));
        self.instances.push(Instance {
            name: name.parse().expect("a valid name"),
            client,
            child,
        });
    }

    /// Index of the instance that plans pool `p`, according to the first instance that answers.
    pub fn planner(&self) -> Option<usize> {
        let status = self
            .instances
            .iter()
            .find_map(|instance| instance.client.status().ok())?;
        let holder = status.pools.into_values().next().flatten()?;
        self.instances.iter().position(|instance| instance.name == holder)
    }

    /// Index of an instance that does not plan pool `p`.
    pub fn non_planner(&self) -> usize {
        let planner = self.planner().expect("the pool has a planner");
        (planner + 1) % self.instances.len()
    }

    /// Queries one instance until the job has ended, and returns the job's last view.
    pub fn wait_for_end(&self, instance: usize, job: &JobId) -> JobView {
        let mut last = None;
        wait_until("the end of the job", || {
            let view = self.instances[instance].client.job(job, Millis::from_secs(5)).ok();
            let ended = view.as_ref().is_some_and(|view| view.outcome.is_some());
            last = view;
            ended
        });
        last.expect("an ended job has a view")
    }

    /// Entries of all endpoints' records that concern a job.
    pub fn record(&self, job: &JobId) -> Vec<Entry> {
        self.endpoints
            .iter()
            .flat_map(EndpointServer::record)
            .filter(|entry| entry.job == *job)
            .collect()
    }
}

/// Body of a ticket with pool `p`, kinds `k` (batch) and `c` (call), and team `a` with this quota.
pub fn ticket(quota: u32) -> Value {
    json!({ "objects": {
        "pool": { "p": { "domains": ["d0"] } },
        "kind": { "k": { "class": "batch" }, "c": { "class": "call" } },
        "team": { "a": { "quota": quota, "kinds": ["k", "c"] } },
    } })
}

/// Body of a submission: an idempotent batch job whose members each use 4 accelerators in one rack and work for `work_ms`.
pub fn gang(members: u16, work_ms: u64) -> Vec<u8> {
    let shape = json!({ "members": members, "accelerators": 4, "adjacent": "rack" });
    let body = json!({
        "team": "a", "kind": "k", "class": "batch", "idempotent": true, "shape": shape,
        "payload": { "work_ms": work_ms, "answer": "done" },
    });
    body.to_string().into_bytes()
}

/// Body of a submission: a call that works for `work_ms`.
pub fn call(idempotent: bool, work_ms: u64) -> Vec<u8> {
    let body = json!({
        "team": "a", "kind": "c", "class": "call", "idempotent": idempotent,
        "payload": { "work_ms": work_ms, "answer": "done" },
    });
    body.to_string().into_bytes()
}
