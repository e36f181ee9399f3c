//! The machine of the store is suspended for some seconds.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::workers::{Fleet, Job};

const WORKERS: usize = 6;
const INSTANCES: usize = 3;
/// Thousandths of a core, megabytes, accelerators.
const CAPACITY: (u64, u64, u64) = (64_000, 262_144, 8);
const SUSPENDED_FROM_MS: u64 = 8_000;
const SUSPENDED_MS: u64 = 4_200;
const TRAFFIC_MS: u64 = 30_000;
const INTERVAL_MS: u64 = 1_000;
const WORK_MS: u64 = 1_000;
/// Time after the end of the traffic at which jobs are asked for.
const FINISH_MS: u64 = 14_000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(Arc::clone(record));
    let fleet = Fleet::start(WORKERS, CAPACITY, &site.store, record);
    site.configure(None);
    site.start(INSTANCES, "")?;
    sleep(Duration::from_secs(3));
    let begin = fleet.now();
    let at = |ms: u64| sleep(Duration::from_millis((begin + ms).saturating_sub(fleet.now())));
    let mut accepted = Vec::new();
    std::thread::scope(|scope| {
        let mut clients = Vec::new();
        let mut suspended = !trouble;
        for number in 0..TRAFFIC_MS / INTERVAL_MS {
            at(number * INTERVAL_MS);
            if !suspended && number * INTERVAL_MS >= SUSPENDED_FROM_MS {
                suspended = true;
                site.store.suspend(Duration::from_millis(SUSPENDED_MS));
                record.write("store", &format!("its machine is suspended for {SUSPENDED_MS} ms"));
            }
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
            let job = Job {
                cpu: 1_000,
                mem_mb: 1_024,
                gpu: 1,
                lasts: false,
                work_ms: vec![WORK_MS],
                ticket: false,
            };
            fleet.jobs.lock().unwrap().insert(id.clone(), job);
            let body = format!(
                "{{\"spec\":\"{id}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"gpu\":1,\"est_ms\":{WORK_MS}}}]}}"
            );
            let site = &site;
            clients.push(scope.spawn(move || {
                let answer = site.request("POST", &format!("/queue/{id}"), &body);
                matches!(answer, Some((200, _))).then_some(id)
            }));
        }
        accepted.extend(clients.into_iter().filter_map(|client| client.join().ok().flatten()));
    });
    record.write(
        "client",
        &format!("end of the traffic; {} jobs accepted", accepted.len()),
    );
    at(TRAFFIC_MS + FINISH_MS);
    let mut broken = Vec::new();
    for id in &accepted {
        // Five attempts, at all instances in turn.
        if !matches!(site.request("GET", &format!("/queue/{id}"), ""), Some((200, _))) {
            broken.push(format!(
                "{id} was accepted; {FINISH_MS} ms after the end of the traffic no instance tells its state"
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
