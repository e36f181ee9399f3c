//! The number of pending jobs beside a worker that hangs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::workers::{Fleet, Job};

const WORKERS: usize = 10;
const INSTANCES: usize = 3;
/// Thousandths of a core, megabytes, accelerators.
const CAPACITY: (u64, u64, u64) = (64_000, 262_144, 8);
/// As many as workers: each takes all accelerators of one.
const JOBS: u64 = 10;
const WORK_MS: u64 = 20_000;
const HANGING: usize = 4;
const HANG_MS: u64 = 5_500;
/// `visible_ms` and 2 s: age from which a job that hasn't begun has to be counted.
const COUNTED_MS: u64 = 3_000 + 2_000;
const LENGTH_MS: u64 = 12_000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(Arc::clone(record));
    let fleet = Fleet::start(WORKERS, CAPACITY, &site.store, record);
    site.configure(None);
    site.start(INSTANCES, "")?;
    sleep(Duration::from_secs(6));
    if trouble {
        fleet.hang(HANGING, HANG_MS);
    }
    let begin = fleet.now();
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
        let job = Job {
            cpu: 1_000,
            mem_mb: 1_024,
            gpu: CAPACITY.2,
            lasts: false,
            work_ms: vec![WORK_MS],
            ticket: false,
        };
        fleet.jobs.lock().unwrap().insert(id.clone(), job);
        let body = format!(
            "{{\"spec\":\"{id}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"gpu\":{},\"est_ms\":{WORK_MS}}}]}}",
            CAPACITY.2
        );
        match site.request("POST", &format!("/work/{id}"), &body) {
            Some((200, _)) => accepted.push((fleet.now(), id)),
            answer => return Err(format!("{id} is answered with {answer:?}")),
        }
    }
    let mut broken = Vec::new();
    while fleet.now() < begin + LENGTH_MS {
        for instance in 0..INSTANCES {
            let asked_at = fleet.now();
            let Some(pending) = site.pending(instance) else {
                return Err("a count is not answered".to_owned());
            };
            // A job that begins while the answer is under way doesn't count as waiting.
            let events = fleet.events();
            let begun: BTreeSet<&str> = events.iter().filter_map(|event| event.task.split('.').next()).collect();
            let waiting = accepted
                .iter()
                .filter(|(at, id)| at + COUNTED_MS < asked_at && !begun.contains(&**id));
            let waiting = waiting.count() as u64;
            if 2 * pending < waiting {
                broken.push(format!(
                    "edge-{instance} gives {pending} as pending at {asked_at} ms; {waiting} jobs haven't begun"
                ));
            }
        }
        sleep(Duration::from_millis(200));
    }
    for line in &broken {
        record.write("check", line);
    }
    if let Ok(folder) = std::env::var("RIG_LOGS") {
        site.keep_logs(&folder);
    }
    Ok(broken)
}
