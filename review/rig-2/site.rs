//! A small deployment: the store, the workers and the instances, all on loopback addresses.

use std::fs;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::http::{call, serve};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "jobs.example";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
const PROGRAM: &str = "target/release/yuccaridge-instance";
const READY_TIMEOUT_MS: u64 = 10_000;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Makes the kernel kill the calling process when its parent ends, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: this option takes the number of a signal.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// An instance of the system.
pub struct Instance {
    front: String,
    ready: String,
    child: Child,
}

/// Processes of instances, which are killed however the rig ends.
static INSTANCES: Mutex<Vec<Instance>> = Mutex::new(Vec::new());

/// Kills all instances.
pub fn kill_instances() {
    for instance in instances().iter_mut() {
        // It may have been killed already.
        let _ = instance.child.kill();
        let _ = instance.child.wait();
    }
}

fn instances() -> MutexGuard<'static, Vec<Instance>> {
    INSTANCES.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Site {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        kill_instances();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// A store without instances yet.
    pub fn new(record: Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store: Arc::new(Store::new()),
            record,
            folder,
        }
    }

    /// Writes a configuration with one queue of the service `pool` at `/queue/`.
    pub fn configure(&self, advice: Option<Json>) {
        let mut route = vec![
            ("name", "work".into()),
            ("host", HOST.into()),
            ("prefix", "/queue/".into()),
            ("kind", "mutating".into()),
            ("timeout_ms", 3_000.into()),
            ("slo_ms", 3_000.into()),
            ("prio", 1.into()),
            ("service", "pool".into()),
            ("attempts", 3.into()),
            ("stretch", Json::Number(3.0)),
            ("public", false.into()),
        ];
        route.extend(advice.map(|advice| ("advice", advice)));
        let route = Json::Object(
            route
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
        );
        let service = object([
            ("name", "pool".into()),
            ("health_path", "/health".into()),
            ("max_conns", 64.into()),
            ("proto", "h1".into()),
            ("tls", false.into()),
            ("enforces_capacity", true.into()),
            ("standby", false.into()),
        ]);
        let limits = object([
            ("max_header_bytes", 16_384.into()),
            ("max_body_bytes", 262_144.into()),
            ("header_timeout_ms", 3_000.into()),
            ("idle_timeout_ms", 15_000.into()),
        ]);
        let tenant = object([
            ("name", "shops".into()),
            ("keys", vec![KEY.into()].into()),
            ("prio", 1.into()),
            ("guaranteed", object([("gpu", 8.into())])),
        ]);
        let config = object([
            ("version", 7.into()),
            ("routes", vec![route].into()),
            ("services", vec![service].into()),
            ("limits", limits),
            ("tenants", vec![tenant].into()),
        ]);
        self.store.put("op", "config", &config);
    }

    /// Starts instances and waits until all are ready; `advice` is the address of the advice service.
    pub fn start(&mut self, count: usize, advice: &str) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let store_address = listener.local_addr().map_err(|error| error.to_string())?.to_string();
        let store = Arc::clone(&self.store);
        // The store serves until the rig ends.
        let _ = serve(listener, move |request| store.answer(request));
        let process = std::process::id();
        for index in 0..count {
            let ip = format!("127.{}.{}.{}", 16 + process % 200, process / 200 % 250, 10 + index);
            let ports = [8_521, 8_523, 7_000, 7_001];
            if ports.iter().any(|port| TcpListener::bind((&*ip, *port)).is_err()) {
                return Err(format!("the ports of {ip} are in use"));
            }
            let instance = self.start_instance(index, &ip, &store_address, advice)?;
            instances().push(instance);
        }
        let ready: Vec<String> = instances().iter().map(|instance| instance.ready.clone()).collect();
        for ready in &ready {
            let mut waited = 0;
            while !matches!(
                call(ready, "GET", "/yuccaridge/ready", &[], "", Duration::from_millis(500)),
                Some((200, _))
            ) {
                std::thread::sleep(Duration::from_millis(100));
                waited += 100;
                if waited > READY_TIMEOUT_MS {
                    return Err("an instance is not ready".to_owned());
                }
            }
        }
        Ok(())
    }

    fn start_instance(&self, index: usize, ip: &str, store: &str, advice: &str) -> Result<Instance, String> {
        let (front, ready) = (format!("{ip}:8521"), format!("{ip}:8523"));
        let listen = object([
            ("front", (&*front).into()),
            ("ready", (&*ready).into()),
            ("control", (&*format!("{ip}:8526")).into()),
        ]);
        let limits = object([
            ("cpu_share", Json::Number(0.25)),
            ("cores", 1.into()),
            ("memory_mb", 260.into()),
            ("max_fds", 4_100.into()),
            ("link_mbps", 1_000.into()),
            ("disk_mb", 0.into()),
        ]);
        let bounds = [
            ("contact_ms", 3_000),
            ("ack_ms", 4_000),
            ("drain_ms", 2_000),
            ("grace_s", 6),
            ("config_ms", 2_000),
            ("hold_max_ms", 10_000),
            ("stop_ms", 200),
            ("gang_ms", 3_000),
            ("cancel_ms", 3_000),
            ("visible_ms", 3_000),
            ("finish_s", 14),
            ("status_s", 120),
            ("restore_ms", 250),
            ("lease_ms", 3_000),
            ("reclaim_ms", 2_700),
        ];
        let platform = object([
            ("addr", store.into()),
            ("form", "table".into()),
            ("writes_s", 800.into()),
            ("reads_s", 2_000.into()),
            ("row_bytes", 65_536.into()),
        ]);
        let settings = object([
            ("node", (&*format!("edge-{index}")).into()),
            ("role", "instance".into()),
            ("class", "edge".into()),
            ("ip", ip.into()),
            ("zone", "zone-a".into()),
            ("listen", listen),
            ("port_range", vec![7_000.into(), 7_015.into()].into()),
            ("limits", limits),
            ("bounds", object(bounds.map(|(name, bound)| (name, Json::from(bound))))),
            ("orders", "invoke".into()),
            ("advice", advice.into()),
            ("platform", platform),
        ]);
        let path = self.folder.join(format!("edge-{index}.json"));
        fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = fs::File::create(self.folder.join(format!("edge-{index}.log"))).map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        // SAFETY: `prctl` may be called between fork and exec, and touches no memory of this process.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .env("YUCCARIDGE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("cannot start {PROGRAM}: {error}"))?;
        Ok(Instance { front, ready, child })
    }

    /// Sends a request of a client to an instance; repeats it elsewhere like a client whose request was refused or not
    /// answered. Returns whether it was answered with success.
    pub fn request(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [("host", HOST), ("x-key", KEY), ("x-deadline-ms", "3000")];
        let mut last = None;
        for attempt in 0..5 {
            let fronts: Vec<String> = instances().iter().map(|instance| instance.front.clone()).collect();
            last = call(
                &fronts[attempt % fronts.len()],
                method,
                path,
                &headers,
                body,
                Duration::from_millis(3_000),
            );
            let status = last.as_ref().map(|(status, _)| *status);
            self.record.write("client", &format!("{method} {path} -> {status:?}"));
            if status.is_some_and(|status| status < 429) {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Kills the process of the instance that leads.
    pub fn kill_leader(&self) -> Result<(), String> {
        let mut instances = instances();
        let leads = |index: &usize| self.store.contains("lead", "1", &format!("edge-{index}"));
        let leader = (0..instances.len()).find(leads).ok_or("no instance leads")?;
        instances[leader].child.kill().map_err(|error| error.to_string())?;
        self.record
            .write(&format!("edge-{leader}"), "killed; it was the leader");
        Ok(())
    }

    /// Copies the logs of the instances to a folder.
    pub fn keep_logs(&self, to: &str) {
        for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let _ = fs::copy(entry.path(), PathBuf::from(to).join(entry.file_name()));
        }
    }
}
