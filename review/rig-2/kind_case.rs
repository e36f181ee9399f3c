//! A worker that is cut off from the store, crashes, and starts again as one of another kind.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::workers::{Fleet, Job};

const WORKERS: usize = 5;
const INSTANCES: usize = 3;
/// Thousandths of a core, megabytes, accelerators.
const CAPACITY: (u64, u64, u64) = (64_000, 262_144, 8);
const CUT: usize = 2;
const CUT_FROM_MS: u64 = 8_000;
const CUT_MS: u64 = 5_000;
/// From the start of the cut to the crash.
const CRASH_AFTER_MS: u64 = 500;
const TRAFFIC_MS: u64 = 20_000;
const INTERVAL_MS: u64 = 500;
const WORK_MS: u64 = 3_000;
const GPUS: u64 = 4;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(Arc::clone(record));
    let fleet = Fleet::start(WORKERS, CAPACITY, &site.store, record);
    site.configure(None);
    site.start(INSTANCES, "")?;
    sleep(Duration::from_secs(3));
    let begin = fleet.now();
    let at = |ms: u64| sleep(Duration::from_millis((begin + ms).saturating_sub(fleet.now())));
    let crashed_at = std::thread::scope(|scope| {
        let disruption = trouble.then(|| {
            scope.spawn(|| {
                at(CUT_FROM_MS);
                fleet.cut_off(CUT, true);
                at(CUT_FROM_MS + CRASH_AFTER_MS);
                fleet.restart_as(CUT, "b");
                let crashed_at = fleet.now();
                at(CUT_FROM_MS + CUT_MS);
                fleet.cut_off(CUT, false);
                crashed_at
            })
        });
        for number in 0..TRAFFIC_MS / INTERVAL_MS {
            at(number * INTERVAL_MS);
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
            let job = Job {
                cpu: 1_000,
                mem_mb: 1_024,
                gpu: GPUS,
                lasts: false,
                work_ms: vec![WORK_MS],
                ticket: false,
            };
            fleet.jobs.lock().unwrap().insert(id.clone(), job);
            let body = format!(
                "{{\"spec\":\"{id}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"gpu\":{GPUS},\"est_ms\":{WORK_MS},\"requires\":\"a\"}}]}}"
            );
            let site = &site;
            scope.spawn(move || site.request("POST", &format!("/queue/{id}"), &body));
        }
        disruption.and_then(|disruption| disruption.join().ok())
    });
    at(TRAFFIC_MS + WORK_MS);
    let mut broken = Vec::new();
    for event in fleet.events() {
        if event.starts && event.worker == CUT && crashed_at.is_some_and(|at| event.at >= at) {
            broken.push(format!(
                "{} requires kind a and was started on worker {CUT} of kind b at {} ms",
                event.task, event.at
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
