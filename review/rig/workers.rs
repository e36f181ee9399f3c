//! Stand-ins of the workers. They know from the registry of jobs what each task takes; `spec` names the job there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, obj};
use crate::record::Record;
use crate::store::Store;

/// `hold_max_ms`, `stop_ms`, `gang_ms` and `heartbeat_ms` of the settings.
const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 100;
const GANG_MS: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How a worker treats what is sent to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    Well,
    /// Answers everything with 503 and does nothing.
    Unwell,
    /// Takes tasks, and fails all that it runs.
    Failing,
}

/// A step of a registered job.
#[derive(Debug, Clone)]
pub struct Step {
    pub count: u64,
    pub gang: bool,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    /// How long a task works; a task that lasts never ends as done.
    pub work_ms: u64,
    pub lasts: bool,
    pub checkpoints: bool,
}

impl Default for Step {
    /// One small task of a second.
    fn default() -> Self {
        Self {
            count: 1,
            gang: false,
            cpu: 1_000,
            mem_mb: 1_024,
            gpu: 0,
            work_ms: 1_000,
            lasts: false,
            checkpoints: false,
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    step: Step,
    begun: Instant,
    /// When all members of its run were present.
    working: Option<Instant>,
    stops_at: Option<Instant>,
}

pub struct Worker {
    pub id: String,
    pub health: Health,
    labels: Vec<String>,
    address: SocketAddr,
    born: u64,
    start: Instant,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    seq: u64,
}

/// Life of a worker that leaves a start and a hold unanswered, crashes, starts again under its id, and carries them out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    Usual,
    /// Keeps the next start, and the next hold that lets it forget ends.
    Armed,
    /// Has crashed.
    Down,
    /// Has started again, and answers nothing yet.
    Again,
}

/// A start or an end of a run.
#[derive(Debug, Clone)]
pub struct Event {
    pub task: String,
    pub run: u64,
    /// `None` for a start.
    pub end: Option<&'static str>,
}

pub struct World {
    pub workers: Vec<Worker>,
    pub jobs: BTreeMap<String, Vec<Step>>,
    pub events: Vec<Event>,
    /// Jobs whose running tasks fail now.
    pub failing: BTreeSet<String>,
    /// Worker that is armed, by index.
    armed: usize,
    life: Life,
    kept: Vec<Request>,
}

impl World {
    /// Whether the armed worker has kept both orders.
    pub fn has_kept_both(&self) -> bool {
        self.kept.len() == 2
    }
}

pub struct Fleet {
    pub world: Mutex<World>,
    changed: Condvar,
    record: Arc<Record>,
}

pub const CPU: u64 = 128_000;
pub const MEM_MB: u64 = 262_144;
pub const GPU: u64 = 8;

impl Fleet {
    /// Starts one worker for each pair of id and rack.
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, workers: &[(String, String)]) -> Arc<Self> {
        let fleet = Arc::new(Self {
            world: Mutex::new(World {
                workers: Vec::new(),
                jobs: BTreeMap::new(),
                events: Vec::new(),
                failing: BTreeSet::new(),
                armed: 0,
                life: Life::Usual,
                kept: Vec::new(),
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        for (index, (id, rack)) in workers.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            fleet.world.lock().unwrap().workers.push(Worker {
                id: id.clone(),
                health: Health::Well,
                labels: vec!["a".to_owned(), rack.clone()],
                address: listener.local_addr().expect("an address"),
                born: SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .map_or(1, |time| time.as_millis() as u64),
                start: Instant::now(),
                fence: 0,
                until_ms: 0,
                runs: BTreeMap::new(),
                past: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                seq: 0,
            });
            let shared = Arc::clone(&fleet);
            serve(listener, Arc::new(move |request| shared.receive(index, request)));
        }
        let (shared, store) = (Arc::clone(&fleet), Arc::clone(store));
        thread::spawn(move || {
            loop {
                shared.report(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        let shared = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                shared.advance();
            }
        });
        fleet
    }

    /// Sets the health of the workers of a rack.
    pub fn set_health(&self, rack: &str, health: Health) {
        for worker in &mut self.world.lock().unwrap().workers {
            if worker.labels.iter().any(|label| label == rack) {
                worker.health = health;
                self.record.line(&format!("worker {}: {health:?}", worker.id));
            }
        }
    }

    /// Lets a worker keep the next start and the next hold that lets it forget ends.
    pub fn arm(&self, index: usize) {
        let mut world = self.world.lock().unwrap();
        world.armed = index;
        world.life = Life::Armed;
    }

    /// Crashes the armed worker.
    pub fn crash(&self) {
        let mut world = self.world.lock().unwrap();
        world.life = Life::Down;
        let index = world.armed;
        let worker = &mut world.workers[index];
        worker.runs.clear();
        self.record.line(&format!("worker {}: crashes", worker.id));
    }

    /// Starts the armed worker again under its id; it holds and knows nothing of before.
    pub fn start_again(&self) {
        let mut world = self.world.lock().unwrap();
        world.life = Life::Again;
        let index = world.armed;
        let worker = &mut world.workers[index];
        worker.born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |time| time.as_millis() as u64);
        worker.start = Instant::now();
        worker.fence = 0;
        worker.until_ms = 0;
        worker.past.clear();
        worker.ended.clear();
        worker.last_end = 0;
        worker.seq = 0;
        self.record.line(&format!(
            "worker {}: has started again, born {}",
            worker.id, worker.born
        ));
    }

    /// Carries out one of the kept orders.
    pub fn carry_out(&self, path: &str) {
        let (index, order) = {
            let mut world = self.world.lock().unwrap();
            let Some(position) = world.kept.iter().position(|order| order.path == path) else {
                return;
            };
            (world.armed, world.kept.remove(position))
        };
        let (status, _) = self.answer(index, &order);
        self.record.line(&format!(
            "late {path} {} is carried out: {status}",
            String::from_utf8_lossy(&order.body)
        ));
    }

    /// The armed worker answers again from now on.
    pub fn be_usual(&self) {
        self.world.lock().unwrap().life = Life::Usual;
    }

    fn receive(self: &Arc<Self>, index: usize, request: Request) -> Reply {
        let life = {
            let mut world = self.world.lock().unwrap();
            if index != world.armed {
                Life::Usual
            } else {
                let seen = Json::parse(&request.body)
                    .and_then(|body| body.get("seen_upto").num())
                    .unwrap_or(0);
                let keeps = request.path == "/yuccaridge/run-start" || seen > 0;
                if world.life == Life::Armed && keeps && world.kept.iter().all(|kept| kept.path != request.path) {
                    self.record.line(&format!(
                        "worker leaves unanswered: {} {}",
                        request.path,
                        String::from_utf8_lossy(&request.body)
                    ));
                    world.kept.push(request);
                    return (0, String::new());
                }
                world.life
            }
        };
        match life {
            Life::Usual | Life::Armed => self.answer(index, &request),
            Life::Down => (1, String::new()),
            Life::Again => {
                self.record.line(&format!(
                    "worker leaves unanswered: {} {}",
                    request.path,
                    String::from_utf8_lossy(&request.body)
                ));
                let shared = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(2_500));
                    let (status, _) = shared.answer(index, &request);
                    shared
                        .record
                        .line(&format!("late {} is carried out: {status}", request.path));
                });
                (0, String::new())
            }
        }
    }

    /// Writes the entries of the workers to the store.
    pub fn report(&self, store: &Store) {
        let mut world = self.world.lock().unwrap();
        let silent = (world.life == Life::Down || world.life == Life::Again).then_some(world.armed);
        for (index, worker) in world.workers.iter_mut().enumerate() {
            if silent == Some(index) {
                continue;
            }
            worker.seq += 1;
            let entry = obj([
                ("service", "shopdesk".into()),
                ("addr", worker.address.to_string().as_str().into()),
                ("zone", "se-south-a".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                (
                    "capacity",
                    obj([("cpu", CPU.into()), ("mem_mb", MEM_MB.into()), ("gpu", GPU.into())]),
                ),
                (
                    "labels",
                    Json::Arr(worker.labels.iter().map(|label| Json::from(&**label)).collect()),
                ),
                ("clock_ms", worker.clock().into()),
                ("born", worker.born.into()),
                ("seq", worker.seq.into()),
            ]);
            store.set("servers", &worker.id, Some(entry.to_string()));
        }
    }

    fn answer(&self, index: usize, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut world = self.world.lock().unwrap();
        let worker = &mut world.workers[index];
        let name = body.get("task").str().to_owned();
        if worker.health == Health::Unwell {
            self.record
                .line(&format!("worker {}: {} {name} -> 503", worker.id, request.path));
            return (503, "{}".to_owned());
        }
        if request
            .headers
            .get("x-expect-instance")
            .is_some_and(|id| *id != worker.id)
        {
            return (421, "{}".to_owned());
        }
        let refusal = |worker: &Worker, reason: &str| {
            (
                409,
                obj([("clock_ms", worker.clock().into()), ("reason", reason.into())]).to_string(),
            )
        };
        let (run, fence) = (body.get("run").num().unwrap_or(0), body.get("fence").num().unwrap_or(0));
        if fence < worker.fence {
            return refusal(worker, "fence");
        }
        worker.fence = fence;
        let until = body.get("until_ms").num();
        match &*request.path {
            "/yuccaridge/run-start" => {
                if until.is_none_or(|until| until <= worker.clock()) {
                    return refusal(worker, "late");
                }
                worker.extend(until);
                if worker.runs.contains_key(&(name.clone(), run)) {
                    return (200, obj([("clock_ms", worker.clock().into())]).to_string());
                }
                if worker.past.get(&name).is_some_and(|past| run <= *past) {
                    return refusal(worker, "old");
                }
                let Some(step) = step_of(&world.jobs, &name) else {
                    return (400, "{}".to_owned());
                };
                let worker = &mut world.workers[index];
                let sum = |of: fn(&Step) -> u64| worker.runs.values().map(|run| of(&run.step)).sum::<u64>();
                let fits = sum(|step| step.cpu) + step.cpu <= CPU
                    && sum(|step| step.mem_mb) + step.mem_mb <= MEM_MB
                    && sum(|step| step.gpu) + step.gpu <= GPU;
                if !fits {
                    return refusal(worker, "room");
                }
                let begun = Instant::now();
                let started = Run {
                    step,
                    begun,
                    working: None,
                    stops_at: None,
                };
                worker.runs.insert((name.clone(), run), started);
                let (id, clock) = (worker.id.clone(), worker.clock());
                self.note(&mut world, &id, &name, run, None);
                (200, obj([("clock_ms", clock.into())]).to_string())
            }
            "/yuccaridge/run-stop" => {
                match worker.runs.get_mut(&(name.clone(), run)) {
                    Some(running) => {
                        let at = Instant::now() + Duration::from_millis(STOP_MS);
                        running.stops_at.get_or_insert(at);
                    }
                    None => {
                        let past = worker.past.entry(name).or_default();
                        *past = run.max(*past);
                    }
                }
                (200, obj([("clock_ms", worker.clock().into())]).to_string())
            }
            "/yuccaridge/hold" => {
                worker.extend(until);
                let seen = body.get("seen_upto").num().unwrap_or(0);
                worker.ended.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(body.get("wait_ms").num().unwrap_or(0).min(2_000));
                let end = Instant::now() + wait;
                loop {
                    let left = end.saturating_duration_since(Instant::now());
                    let worker = &world.workers[index];
                    if !worker.ended.is_empty() || left.is_zero() {
                        return (200, worker.lists().to_string());
                    }
                    world = self.changed.wait_timeout(world, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn note(&self, world: &mut World, worker: &str, task: &str, run: u64, end: Option<&'static str>) {
        self.record.line(&format!(
            "worker {worker}: {task} run {run} {}",
            end.unwrap_or("started")
        ));
        world.events.push(Event {
            task: task.to_owned(),
            run,
            end,
        });
    }

    /// Lets the runs work, and ends those that are done, stopped, lapsed, broken or alone.
    fn advance(&self) {
        let now = Instant::now();
        let mut world = self.world.lock().unwrap();
        let mut members: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for worker in &world.workers {
            for (task, run) in worker.runs.keys() {
                *members.entry((unit_of(task), *run)).or_default() += 1;
            }
        }
        let mut ends: Vec<(usize, String, u64, &'static str)> = Vec::new();
        let mut over: BTreeSet<(String, u64)> = BTreeSet::new();
        let failing_jobs = std::mem::take(&mut world.failing);
        for (index, worker) in world.workers.iter_mut().enumerate() {
            let lapsed = worker.until_ms <= worker.clock();
            let unwell = worker.health == Health::Failing;
            for ((task, number), run) in &mut worker.runs {
                let size = if run.step.gang { run.step.count } else { 1 };
                let present = !run.step.gang || members[&(unit_of(task), *number)] >= size;
                if present && run.working.is_none() {
                    run.working = Some(now);
                }
                let worked = run.working.map_or(Duration::ZERO, |since| now - since).as_millis() as u64;
                let failing = unwell || failing_jobs.iter().any(|id| task.starts_with(&**id));
                let how = if lapsed {
                    "lapsed"
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if failing && run.working.is_some() {
                    "failed"
                } else if run.working.is_none() && (now - run.begun).as_millis() as u64 >= GANG_MS {
                    "alone"
                } else if run.working.is_some() && worked >= run.step.work_ms && !run.step.lasts {
                    "done"
                } else {
                    continue;
                };
                if run.step.gang && how != "done" {
                    over.insert((unit_of(task), *number));
                }
                ends.push((index, task.clone(), *number, how));
            }
        }
        for (index, worker) in world.workers.iter().enumerate() {
            for ((task, number), run) in &worker.runs {
                let listed = ends
                    .iter()
                    .any(|(at, name, of, _)| *at == index && name == task && of == number);
                if run.step.gang && !listed && over.contains(&(unit_of(task), *number)) {
                    ends.push((index, task.clone(), *number, "broken"));
                }
            }
        }
        if ends.is_empty() {
            return;
        }
        for (index, task, number, how) in ends {
            let worker = &mut world.workers[index];
            worker.runs.remove(&(task.clone(), number));
            let past = worker.past.entry(task.clone()).or_default();
            *past = number.max(*past);
            worker.last_end += 1;
            worker.ended.push((worker.last_end, task.clone(), number, how));
            let id = worker.id.clone();
            self.note(&mut world, &id, &task, number, Some(how));
        }
        drop(world);
        self.changed.notify_all();
    }
}

impl Run {
    /// A new value with each second of work, in the form of the pages: 16 digits.
    fn checkpoint(&self) -> String {
        let seconds = self.working.map_or(0, |since| since.elapsed().as_secs());
        if self.step.checkpoints && seconds > 0 {
            format!("{:016x}", 0x0bb8_7a21_d94b + seconds)
        } else {
            String::new()
        }
    }
}

impl Worker {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: Option<u64>) {
        let until = until.unwrap_or(0).min(self.clock() + HOLD_MAX_MS);
        self.until_ms = self.until_ms.max(until);
    }

    /// Whether it runs nothing.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a task of a job runs on it.
    pub fn runs_job(&self, id: &str) -> bool {
        self.runs.keys().any(|(task, _)| task.starts_with(id))
    }

    fn lists(&self) -> Json {
        let running = self.runs.iter().map(|((task, number), run)| {
            let worked = run.working.map_or(0, |since| since.elapsed().as_millis() as u64);
            let percent = (worked * 100 / run.step.work_ms.max(1)).min(100);
            let row = vec![
                Json::from(&**task),
                (*number).into(),
                Json::Str(run.checkpoint()),
                percent.into(),
                run.step.cpu.into(),
            ];
            Json::Arr(row)
        });
        let ended = self.ended.iter().take(500).map(|(number, task, run, how)| {
            Json::Arr(vec![
                (*number).into(),
                Json::from(&**task),
                (*run).into(),
                (*how).into(),
                "".into(),
            ])
        });
        obj([
            ("clock_ms", self.clock().into()),
            ("born", self.born.into()),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.collect())),
        ])
    }
}

/// Job, occurrence and step of a task.
fn unit_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(unit, _)| unit).to_owned()
}

fn step_of(jobs: &BTreeMap<String, Vec<Step>>, task: &str) -> Option<Step> {
    let mut parts = task.split('.');
    let job = jobs.get(parts.next()?)?;
    job.get(parts.nth(1)?.parse::<usize>().ok()?).cloned()
}
