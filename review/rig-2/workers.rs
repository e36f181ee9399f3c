//! Workers that run tasks under leases, as the users' pages describe them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Sockets, serve};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;
/// Time from a stop to the end of the run; the bound is 200.
const STOP_MS: u64 = 100;
/// Most ends in an answer.
const ENDS_MAX: usize = 500;
/// Time from the start of a task that lasts until it is at work.
const STARTUP_MS: u64 = 300;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What the workers know of a job: none of its steps is a gang or depends on another.
#[derive(Clone)]
pub struct Job {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub lasts: bool,
    /// How long each run works until it is done or, if its task lasts, until it fails; empty for a task that lasts and
    /// never fails. The runs of a task take one after the other, from a place that depends on its index.
    pub work_ms: Vec<u64>,
    /// Its starts need a ticket.
    pub ticket: bool,
}

struct Run {
    number: u64,
    job: String,
    started: u64,
    ends_at: Option<u64>,
    outcome: &'static str,
    stop_at: Option<u64>,
}

struct End {
    number: u64,
    row: Json,
}

struct Worker {
    id: String,
    address: String,
    kind: &'static str,
    rack: String,
    born: u64,
    /// Time of its start on the clock of the fleet; its own clock counts from there.
    clock_from: u64,
    /// It does not reach the store.
    cut_off: bool,
    /// It has crashed for good.
    gone: bool,
    sockets: Sockets,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended.
    finished: BTreeMap<String, u64>,
}

/// A ticket of the advice service.
struct Ticket {
    step: String,
    worker: String,
    valid_until: u64,
}

/// A change of what runs, for the checks.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub task: String,
    pub worker: usize,
    pub starts: bool,
}

pub struct Fleet {
    start: Instant,
    capacity: (u64, u64, u64),
    workers: Vec<Mutex<Worker>>,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    tickets: Mutex<BTreeMap<String, Ticket>>,
    events: Mutex<Vec<Event>>,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts `count` workers of the given capacity (thousandths of a core, megabytes, accelerators).
    pub fn start(count: usize, capacity: (u64, u64, u64), store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let mut listeners = Vec::new();
        let mut workers = Vec::new();
        let born = wall_ms();
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            workers.push(Mutex::new(Worker {
                id: format!("i-{index:04}"),
                address: listener.local_addr().expect("an address").to_string(),
                kind: "a",
                rack: format!("r1-{}", index / 8),
                born,
                clock_from: 0,
                cut_off: false,
                gone: false,
                sockets: Sockets::default(),
                fence: 0,
                lease_end: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                finished: BTreeMap::new(),
            }));
            listeners.push(listener);
        }
        let fleet = Arc::new(Self {
            start: Instant::now(),
            capacity,
            workers,
            jobs: Mutex::default(),
            tickets: Mutex::default(),
            events: Mutex::default(),
            record: Arc::clone(record),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let answering = Arc::clone(&fleet);
            let sockets = serve(listener, move |request| answering.answer(index, request));
            fleet.workers[index].lock().unwrap().sockets = sockets;
        }
        let ticking = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                (0..count).for_each(|index| ticking.advance(index));
            }
        });
        let (beating, store) = (Arc::clone(&fleet), Arc::clone(store));
        thread::spawn(move || {
            for seq in 1.. {
                (0..count).for_each(|index| beating.beat(index, seq, &store));
                thread::sleep(HEARTBEAT);
            }
        });
        fleet
    }

    pub fn ids(&self) -> Vec<String> {
        self.workers
            .iter()
            .map(|worker| worker.lock().unwrap().id.clone())
            .collect()
    }

    pub fn capacity(&self) -> (u64, u64, u64) {
        self.capacity
    }

    /// Cuts a worker off from the store, so that its entry there stays as it is, or ends the cut.
    pub fn cut_off(&self, index: usize, cut_off: bool) {
        self.workers[index].lock().unwrap().cut_off = cut_off;
        let what = if cut_off {
            "is cut off from the store"
        } else {
            "reaches the store again"
        };
        self.record.write(&format!("i-{index:04}"), what);
    }

    /// Crashes a worker for good; its entry lapses after three heartbeats.
    pub fn lose(&self, index: usize, store: &Arc<Store>) {
        let mut worker = self.workers[index].lock().unwrap();
        let lost: Vec<String> = std::mem::take(&mut worker.running).into_keys().collect();
        worker.cut_off = true;
        worker.gone = true;
        let (sockets, id) = (worker.sockets.clone(), worker.id.clone());
        drop(worker);
        sockets.close();
        lost.iter().for_each(|task| self.note(index, task, false));
        self.record.write(&id, &format!("crashed for good; lost {lost:?}"));
        let (store, record) = (Arc::clone(store), Arc::clone(&self.record));
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.remove("servers", &id);
            record.write(&id, "its entry has lapsed");
        });
    }

    /// Workers that have not crashed for good.
    pub fn present(&self) -> BTreeSet<usize> {
        let present = (0..self.workers.len()).filter(|index| !self.workers[*index].lock().unwrap().gone);
        present.collect()
    }

    /// Crashes a worker; it starts again under its id and address, as one of another kind.
    pub fn restart_as(&self, index: usize, kind: &'static str) {
        let mut worker = self.workers[index].lock().unwrap();
        let lost: Vec<String> = std::mem::take(&mut worker.running).into_keys().collect();
        worker.kind = kind;
        worker.born = wall_ms();
        worker.clock_from = self.now();
        (worker.fence, worker.lease_end, worker.next_end) = (0, 0, 1);
        worker.ended.clear();
        worker.finished.clear();
        let sockets = worker.sockets.clone();
        drop(worker);
        sockets.close_connections();
        lost.iter().for_each(|task| self.note(index, task, false));
        self.record.write(
            &format!("i-{index:04}"),
            &format!("crashed and started again as kind {kind}; lost {lost:?}"),
        );
    }

    /// Starts and ends of runs so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Time since the start of the run, in milliseconds; the workers' clock.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Issues a ticket for the tasks of a step on a worker.
    pub fn issue(&self, step: &str, worker: &str, valid_ms: u64) -> String {
        let mut tickets = self.tickets.lock().unwrap();
        let name = format!("t-{:06}", tickets.len());
        let ticket = Ticket {
            step: step.to_owned(),
            worker: worker.to_owned(),
            valid_until: self.now() + valid_ms,
        };
        tickets.insert(name.clone(), ticket);
        name
    }

    /// Records an answer of the advice service.
    pub fn note_advice(&self, step: &str, named: usize, allowed: usize) {
        self.record
            .write("advice", &format!("{step}: {allowed} of {named} workers allowed"));
    }

    fn is_valid(&self, ticket: &str, task: &str, worker: &str) -> bool {
        let tickets = self.tickets.lock().unwrap();
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        tickets
            .get(ticket)
            .is_some_and(|found| found.step == step && found.worker == worker && self.now() < found.valid_until)
    }

    fn note(&self, index: usize, task: &str, starts: bool) {
        let event = Event {
            at: self.now(),
            task: task.to_owned(),
            worker: index,
            starts,
        };
        self.events.lock().unwrap().push(event);
    }

    fn beat(&self, index: usize, seq: u64, store: &Store) {
        let (key, entry) = {
            let worker = self.workers[index].lock().unwrap();
            if worker.cut_off {
                return;
            }
            let capacity = object([
                ("cpu", self.capacity.0.into()),
                ("mem_mb", self.capacity.1.into()),
                ("gpu", self.capacity.2.into()),
            ]);
            let entry = object([
                ("service", "pool".into()),
                ("addr", (&*worker.address).into()),
                ("zone", "zone-a".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                ("capacity", capacity),
                ("labels", vec![worker.kind.into(), (&*worker.rack).into()].into()),
                ("clock_ms", (self.now() - worker.clock_from).into()),
                ("seq", seq.into()),
                ("born", worker.born.into()),
            ]);
            (worker.id.clone(), entry)
        };
        store.put("servers", &key, &entry);
    }

    /// Ends the runs that are over.
    fn advance(&self, index: usize) {
        let now = self.now();
        let mut worker = self.workers[index].lock().unwrap();
        let lapsed = worker.lease_end <= now;
        let mut over = Vec::new();
        for (task, run) in &worker.running {
            if lapsed {
                over.push((task.clone(), run.number, "lapsed"));
            } else if run.stop_at.is_some_and(|at| at <= now) {
                over.push((task.clone(), run.number, "stopped"));
            } else if run.ends_at.is_some_and(|at| at <= now) {
                over.push((task.clone(), run.number, run.outcome));
            }
        }
        for (task, number, outcome) in over {
            worker.running.remove(&task);
            let highest = worker.finished.entry(task.clone()).or_default();
            *highest = number.max(*highest);
            let row = vec![
                worker.next_end.into(),
                (&*task).into(),
                number.into(),
                outcome.into(),
                "".into(),
            ];
            let end = End {
                number: worker.next_end,
                row: row.into(),
            };
            worker.ended.push(end);
            worker.next_end += 1;
            self.record.write(&worker.id, &format!("{task} run {number} {outcome}"));
            self.note(index, &task, false);
        }
    }

    fn answer(&self, index: usize, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        let meant_for = request.headers.get("x-expect-instance");
        if meant_for.is_some_and(|id| *id != self.workers[index].lock().unwrap().id) {
            return Some((421, "{}".to_owned()));
        }
        match request.path() {
            "/yuccaridge/run-start" => Some(self.start_run(index, &body)),
            "/yuccaridge/run-stop" => Some(self.stop_run(index, &body)),
            "/yuccaridge/hold" => self.hold(index, &body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refusal(&self, worker: &Worker, reason: &str) -> (u16, String) {
        let clock = self.now() - worker.clock_from;
        (
            409,
            object([("clock_ms", clock.into()), ("reason", reason.into())]).to_string(),
        )
    }

    fn accepted(&self, worker: &Worker) -> (u16, String) {
        let clock = self.now() - worker.clock_from;
        (200, object([("clock_ms", clock.into())]).to_string())
    }

    fn start_run(&self, index: usize, body: &Json) -> (u16, String) {
        let now = self.now();
        let mut worker = self.workers[index].lock().unwrap();
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < worker.fence {
            return self.refusal(&worker, "fence");
        }
        worker.fence = fence;
        let until = body.get("until_ms").number().unwrap_or(0) + worker.clock_from;
        let until = until.min(now + HOLD_MAX_MS);
        if until <= now {
            return self.refusal(&worker, "late");
        }
        worker.lease_end = worker.lease_end.max(until);
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number().unwrap_or(0);
        if let Some(run) = worker.running.get(&task) {
            return if run.number == number {
                self.accepted(&worker)
            } else {
                self.refusal(&worker, "old")
            };
        }
        if worker.finished.get(&task).is_some_and(|highest| *highest >= number) {
            return self.refusal(&worker, "old");
        }
        let jobs = self.jobs.lock().unwrap();
        let id = task.split('.').next().unwrap_or_default().to_owned();
        let Some(job) = jobs.get(&id) else {
            return (400, "{}".to_owned());
        };
        if job.ticket && !self.is_valid(body.get("ticket").text(), &task, &worker.id) {
            self.record
                .write(&worker.id, &format!("{task} run {number} refused: ticket"));
            return self.refusal(&worker, "ticket");
        }
        let mut used = (job.cpu, job.mem_mb, job.gpu);
        for run in worker.running.values() {
            let other = &jobs[&run.job];
            used = (used.0 + other.cpu, used.1 + other.mem_mb, used.2 + other.gpu);
        }
        if used.0 > self.capacity.0 || used.1 > self.capacity.1 || used.2 > self.capacity.2 {
            return self.refusal(&worker, "room");
        }
        let number_in_step: usize = task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let work = job
            .work_ms
            .get((number as usize - 1 + 37 * number_in_step) % job.work_ms.len().max(1));
        let run = Run {
            number,
            job: id,
            started: now,
            ends_at: work.map(|work| now + work),
            outcome: if job.lasts { "failed" } else { "done" },
            stop_at: None,
        };
        worker.running.insert(task.clone(), run);
        self.record.write(&worker.id, &format!("{task} run {number} started"));
        self.note(index, &task, true);
        self.accepted(&worker)
    }

    fn stop_run(&self, index: usize, body: &Json) -> (u16, String) {
        let mut worker = self.workers[index].lock().unwrap();
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < worker.fence {
            return self.refusal(&worker, "fence");
        }
        worker.fence = fence;
        let number = body.get("run").number().unwrap_or(0);
        let task = body.get("task").text();
        let highest = worker.finished.entry(task.to_owned()).or_default();
        *highest = number.max(*highest);
        let now = self.now();
        if let Some(run) = worker.running.get_mut(task).filter(|run| run.number == number) {
            run.stop_at.get_or_insert(now + STOP_MS);
        }
        self.accepted(&worker)
    }

    fn hold(&self, index: usize, body: &Json) -> Answer {
        let born = self.workers[index].lock().unwrap().born;
        let until = self.now() + body.get("wait_ms").number().unwrap_or(0).min(2_000);
        {
            let now = self.now();
            let mut worker = self.workers[index].lock().unwrap();
            let fence = body.get("fence").number().unwrap_or(0);
            if fence < worker.fence {
                return Some(self.refusal(&worker, "fence"));
            }
            worker.fence = fence;
            let seen = body.get("seen_upto").number().unwrap_or(0);
            worker.ended.retain(|end| end.number > seen);
            if let Some(until) = body.get("until_ms").number() {
                let until = (until + worker.clock_from).min(now + HOLD_MAX_MS);
                worker.lease_end = worker.lease_end.max(until);
            }
        }
        loop {
            let now = self.now();
            let worker = self.workers[index].lock().unwrap();
            if worker.born != born {
                return None;
            }
            if worker.ended.is_empty() && now < until {
                drop(worker);
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let jobs = self.jobs.lock().unwrap();
            let mut running = Vec::new();
            for (task, run) in &worker.running {
                let worked = now - run.started;
                let percent = if jobs[&run.job].lasts {
                    100 * u64::from(worked >= STARTUP_MS)
                } else {
                    (100 * worked / run.ends_at.map_or(1, |end| end - run.started).max(1)).min(100)
                };
                let cpu = jobs[&run.job].cpu;
                running.push(
                    vec![
                        (&**task).into(),
                        run.number.into(),
                        "".into(),
                        percent.into(),
                        cpu.into(),
                    ]
                    .into(),
                );
            }
            let ended: Vec<Json> = worker.ended.iter().take(ENDS_MAX).map(|end| end.row.clone()).collect();
            let body = object([
                ("clock_ms", (now - worker.clock_from).into()),
                ("born", worker.born.into()),
                ("running", running.into()),
                ("ended", ended.into()),
            ]);
            return Some((200, body.to_string()));
        }
    }
}

fn wall_ms() -> u64 {
    let age = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    age.map_or(1, |age| age.as_millis() as u64)
}
