//! A worker is lost for good together with the leader, shortly before the end of the traffic.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::lost::{IDLE_MS, has_room, spans};
use crate::record::Record;
use crate::site::Site;
use crate::workers::{Fleet, Job};

const WORKERS: usize = 7;
const INSTANCES: usize = 3;
/// Thousandths of a core, megabytes, accelerators.
const CAPACITY: (u64, u64, u64) = (64_000, 262_144, 8);
const TRAFFIC_MS: u64 = 10_000;
const INTERVAL_MS: u64 = 2_000;
const WORK_MS: u64 = 12_000;
const GPUS: u64 = 1;
/// Before the end of the traffic.
const LOSS_BEFORE_MS: u64 = 500;
/// Time after the end of the traffic at which jobs are asked for.
const FINISH_MS: u64 = 14_000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(Arc::clone(record));
    let fleet = Fleet::start(WORKERS, CAPACITY, &site.store, record);
    site.configure(None);
    site.start(INSTANCES, "")?;
    sleep(Duration::from_secs(6));
    let begin = fleet.now();
    let at = |ms: u64| sleep(Duration::from_millis((begin + ms).saturating_sub(fleet.now())));
    let mut jobs = Vec::new();
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
            "{{\"spec\":\"{id}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"gpu\":{GPUS},\"est_ms\":{WORK_MS}}}]}}"
        );
        match site.request("POST", &format!("/queue/{id}"), &body) {
            Some((200, _)) => jobs.push(id),
            answer => return Err(format!("{id} is answered with {answer:?}")),
        }
    }
    at(TRAFFIC_MS - LOSS_BEFORE_MS);
    if trouble {
        let last = fleet.events().into_iter().filter(|event| event.starts).next_back();
        let busy = last.ok_or("nothing was started")?.worker;
        fleet.lose(busy, &site.store);
        site.kill_leader()?;
    }
    at(TRAFFIC_MS);
    record.write("client", "end of the traffic");
    let asked_at = begin + TRAFFIC_MS + FINISH_MS;
    at(TRAFFIC_MS + FINISH_MS);
    let mut open = Vec::new();
    for id in &jobs {
        match site.request("GET", &format!("/queue/{id}"), "") {
            Some((200, body)) if body.contains("done") => {}
            Some((200, _)) => open.push(id.clone()),
            answer => return Err(format!("{id} is answered with {answer:?}")),
        }
    }
    at(TRAFFIC_MS + FINISH_MS + IDLE_MS);
    let until = fleet.now();
    let spans = spans(&fleet.events(), until);
    let present: BTreeSet<usize> = fleet.present();
    let mut broken = Vec::new();
    for id in open {
        let task = format!("{id}.0.0.0");
        let mut idle_ms = 0;
        for span in spans.iter().filter(|span| span.to > asked_at) {
            let length = span.to - span.from.max(asked_at);
            if span.running.contains_key(&task) || !has_room(&fleet, span, &id, 1, &present) {
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
    // Tells how long it takes in the end.
    sleep(Duration::from_secs(12));
    if let Ok(folder) = std::env::var("RIG_LOGS") {
        site.keep_logs(&folder);
    }
    Ok(broken)
}
