//! Tasks that last, and fail at times.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::lost::{IDLE_MS, RESTART_MS, has_room, spans};
use crate::random::Random;
use crate::record::Record;
use crate::site::Site;
use crate::workers::{Fleet, Job};

const WORKERS: usize = 3;
const INSTANCES: usize = 3;
/// Thousandths of a core, megabytes, accelerators.
const CAPACITY: (u64, u64, u64) = (64_000, 262_144, 8);
const JOBS: u64 = 6;
const TASKS: u64 = 2;
/// Time from the start of a run to its failure.
const FAILS_AFTER_MS: (u64, u64) = (5000, 15000);
const RUNS_MAX: usize = 101;
const LENGTH_MS: u64 = 75_000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(Arc::clone(record));
    let fleet = Fleet::start(WORKERS, CAPACITY, &site.store, record);
    site.configure(None);
    site.start(INSTANCES, "")?;
    sleep(Duration::from_secs(3));
    let mut random = Random(88_172_645_463_325_252);
    let begin = fleet.now();
    let mut tasks = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
        let work_ms = (0..RUNS_MAX).map(|_| random.between(FAILS_AFTER_MS.0, FAILS_AFTER_MS.1));
        let job = Job {
            cpu: 1_000,
            mem_mb: 1_024,
            gpu: 1,
            lasts: true,
            work_ms: if trouble { work_ms.collect() } else { Vec::new() },
            ticket: false,
        };
        fleet.jobs.lock().unwrap().insert(id.clone(), job);
        let body = format!(
            "{{\"spec\":\"{id}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":1024,\"gpu\":1,\"est_ms\":60000,\"long_running\":true}}]}}"
        );
        match site.request("POST", &format!("/queue/{id}"), &body) {
            Some((200, _)) => {}
            answer => return Err(format!("{id} is answered with {answer:?}")),
        }
        tasks.extend((0..TASKS).map(|index| format!("{id}.0.0.{index}")));
    }
    sleep(Duration::from_millis((begin + LENGTH_MS).saturating_sub(fleet.now())));
    let until = fleet.now();
    let events = fleet.events();
    let spans = spans(&events, until);
    let all: BTreeSet<usize> = (0..WORKERS).collect();
    let mut broken = Vec::new();
    for task in &tasks {
        let id = task.split('.').next().unwrap_or_default();
        let mut ended_at = None;
        let mut idle_ms = 0;
        let mut longest: BTreeMap<u64, u64> = BTreeMap::new();
        for span in &spans {
            if span.running.contains_key(task) {
                ended_at = Some(span.to);
                idle_ms = 0;
                continue;
            }
            let Some(ended_at) = ended_at else { continue };
            let length = span.to.saturating_sub(span.from.max(ended_at + RESTART_MS));
            idle_ms = if has_room(&fleet, span, id, 1, &all) {
                idle_ms + length
            } else {
                0
            };
            if idle_ms >= IDLE_MS {
                longest.insert(ended_at, idle_ms);
            }
        }
        for (ended_at, idle_ms) in longest {
            let total = idle_ms + RESTART_MS;
            broken.push(format!(
                "{task} doesn't run for {total} ms after its run that ended at {ended_at} ms, beside free workers"
            ));
        }
    }
    for line in &broken {
        record.write("check", line);
    }
    if let Ok(folder) = std::env::var("RIG_LOGS") {
        site.keep_logs(&folder);
    }
    Ok(broken)
}
