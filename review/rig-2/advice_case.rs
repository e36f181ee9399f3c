//! A burst of jobs on a queue with advice.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::advice;
use crate::lost::{IDLE_MS, has_room, spans};
use crate::record::Record;
use crate::site::Site;
use crate::workers::{Fleet, Job};

const WORKERS: usize = 30;
const INSTANCES: usize = 3;
/// Thousandths of a core, megabytes, accelerators.
const CAPACITY: (u64, u64, u64) = (64_000, 262_144, 8);

const TRAFFIC_MS: u64 = 40_000;
const INTERVAL_MS: u64 = 1_250;
const BURST_FROM_MS: u64 = 10_000;
const BURST_MS: u64 = 6_000;
/// Traffic during the burst, as a multiple of the usual.
const BURST_FACTOR: f64 = 2.4;
const WORK_MS: u64 = 2_000;
/// Time after the end of the traffic at which jobs are asked for.
const FINISH_MS: u64 = 14_000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(Arc::clone(record));
    let fleet = Fleet::start(WORKERS, CAPACITY, &site.store, record);
    let address = advice::start(&fleet);
    site.configure(Some(advice::terms()));
    site.start(INSTANCES, &address)?;
    sleep(Duration::from_secs(3));

    let begin = fleet.now();
    let mut jobs: Vec<String> = Vec::new();
    let mut next = 0.0;
    std::thread::scope(|scope| {
        while next < TRAFFIC_MS as f64 {
            let at = begin + next as u64;
            sleep(Duration::from_millis(at.saturating_sub(fleet.now())));
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + jobs.len() as u64);
            let job = Job {
                cpu: 1_000,
                mem_mb: 1_024,
                gpu: 1,
                lasts: false,
                work_ms: vec![WORK_MS],
                ticket: true,
            };
            fleet.jobs.lock().unwrap().insert(id.clone(), job);
            jobs.push(id.clone());
            let site = &site;
            scope.spawn(move || {
                let body = format!(
                    "{{\"spec\":\"{id}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"gpu\":1,\"est_ms\":{WORK_MS}}}]}}"
                );
                site.request("POST", &format!("/queue/{id}"), &body);
            });
            let in_burst = (BURST_FROM_MS..BURST_FROM_MS + BURST_MS).contains(&(next as u64));
            next += INTERVAL_MS as f64 / if trouble && in_burst { BURST_FACTOR } else { 1.0 };
        }
    });
    record.write("client", &format!("end of the traffic; {} jobs", jobs.len()));

    let asked_at = fleet.now() + FINISH_MS;
    sleep(Duration::from_millis(FINISH_MS));
    let mut open = Vec::new();
    for id in &jobs {
        match site.request("GET", &format!("/queue/{id}"), "") {
            Some((200, body)) if body.contains("done") => {}
            Some((200, _)) => open.push(id.clone()),
            answer => return Err(format!("{id} is answered with {answer:?}")),
        }
    }
    sleep(Duration::from_millis(IDLE_MS + 500));
    let until = fleet.now();
    let spans = spans(&fleet.events(), until);
    let mut broken = Vec::new();
    for id in open {
        let task = format!("{id}.0.0.0");
        let allowed: BTreeSet<usize> = (0..WORKERS)
            .filter(|worker| advice::allows(&format!("{id}.0.0"), *worker))
            .collect();
        let mut idle_ms = 0;
        for span in spans.iter().filter(|span| span.to > asked_at) {
            let length = span.to - span.from.max(asked_at);
            if span.running.contains_key(&task) || !has_room(&fleet, span, &id, 1, &allowed) {
                idle_ms = 0;
            } else {
                idle_ms += length;
            }
        }
        if idle_ms >= IDLE_MS {
            broken.push(format!(
                "{id} has nothing running for {idle_ms} ms, {FINISH_MS} ms after the end of the traffic"
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
