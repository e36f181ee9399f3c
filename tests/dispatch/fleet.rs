//! Fixture: endpoints that run tasks in virtual time and judge every order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yuccaridge::dispatch::{Hold, Start, Stop};
use yuccaridge::graph::TaskName;
use yuccaridge::port::{End, OrderError, Outcome, Refusal, Report, Room, Running};

use crate::world::name;

/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 200;

/// Longest wait of a gang's member for the others, in milliseconds.
const GANG_MS: u64 = 3_000;

/// What a task needs and how it behaves.
#[derive(Clone)]
pub struct Kind {
    pub need: Room,
    pub work_ms: u64,
    /// Members of its gang; 1 for a task of its own.
    pub members: u32,
    /// Steps that must have ended.
    pub after: Vec<u32>,
    /// Tasks of each step.
    pub counts: Vec<u32>,
    pub gang_steps: Vec<bool>,
}

struct Run {
    number: u32,
    worked: u64,
    since: u64,
    stops_at: Option<u64>,
}

/// One endpoint.
pub struct Fake {
    pub born: u64,
    pub up: bool,
    /// It runs on, and nothing reaches it.
    pub cut: bool,
    fence: u64,
    until: u64,
    running: BTreeMap<Arc<str>, Run>,
    ended: Vec<End>,
    /// Ends after which the lease of the endpoint has passed. A leader that could not read them in time was right to start
    /// the task again, so that noting them later binds nobody.
    stale: BTreeSet<u64>,
    next: u64,
    refused: BTreeMap<Arc<str>, u32>,
}

/// All endpoints, and what they have seen.
pub struct Fleet {
    pub fakes: BTreeMap<Arc<str>, Fake>,
    pub kinds: BTreeMap<(Arc<str>, u32), Kind>,
    pub capacity: Room,
    /// Tasks whose end `done` was allowed to be forgotten.
    noted: BTreeSet<Arc<str>>,
    /// Tasks, or whole gangs by their first member, that have ended well.
    pub done: BTreeSet<(Arc<str>, u32, u32)>,
    pub broken: Vec<String>,
}

fn parse(task: &str) -> TaskName {
    task.parse().expect("the dispatcher's own name")
}

impl Fleet {
    pub fn new(count: usize, capacity: Room) -> Self {
        let mut fakes = BTreeMap::new();
        for at in 0..count {
            fakes.insert(name(&format!("e{at}")), Fake::new(1));
        }
        Self {
            fakes,
            kinds: BTreeMap::new(),
            capacity,
            noted: BTreeSet::new(),
            done: BTreeSet::new(),
            broken: Vec::new(),
        }
    }

    fn kind(&self, task: &TaskName) -> Kind {
        self.kinds[&(Arc::clone(&task.job), task.step)].clone()
    }

    /// Carries a start out, at whatever time it arrives.
    pub fn start(&mut self, start: &Start, fence: u64, until: u64, now: u64) -> Result<u64, OrderError> {
        let task = parse(&start.task);
        let kind = self.kind(&task);
        let refused = |refusal| {
            Err(OrderError::Refused {
                refusal,
                clock_ms: Some(now),
            })
        };
        let fake = self.fakes.get_mut(&start.endpoint).expect("a known endpoint");
        if fence < fake.fence {
            return refused(Refusal::Fence);
        }
        fake.fence = fence;
        if until <= now {
            return refused(Refusal::Late);
        }
        fake.until = fake.until.max(until);
        if let Some(run) = fake.running.get(&start.task) {
            return if run.number == start.run {
                Ok(now)
            } else {
                refused(Refusal::Old)
            };
        }
        if fake.refused.get(&start.task).is_some_and(|run| *run >= start.run) {
            return refused(Refusal::Old);
        }
        let mut used = kind.need;
        for other in fake.running.keys() {
            used = used.plus(&self.kinds[&(parse(other).job, parse(other).step)].need);
        }
        if !self.capacity.fits(&used) {
            self.broken
                .push(format!("{now}: {} has no room for {}", start.endpoint, start.task));
        }
        let run = Run {
            number: start.run,
            worked: 0,
            since: now,
            stops_at: None,
        };
        fake.running.insert(Arc::clone(&start.task), run);
        self.judge(start, &task, &kind, now);
        Ok(now)
    }

    fn judge(&mut self, start: &Start, task: &TaskName, kind: &Kind, now: u64) {
        for (other, fake) in &self.fakes {
            if *other != start.endpoint && fake.up && fake.running.contains_key(&start.task) {
                self.broken.push(format!("{now}: {} runs twice", start.task));
            }
        }
        if self.noted.contains(&start.task) {
            self.broken
                .push(format!("{now}: {} started after its end was noted", start.task));
        }
        for after in &kind.after {
            let gang = kind.gang_steps[*after as usize];
            let count = if gang { 1 } else { kind.counts[*after as usize] };
            for index in 0..count {
                if !self.done.contains(&(Arc::clone(&task.job), *after, index)) {
                    self.broken
                        .push(format!("{now}: {} started before step {after} ended", start.task));
                }
            }
        }
    }

    pub fn stop(&mut self, stop: &Stop, fence: u64, now: u64) -> Result<u64, OrderError> {
        let fake = self.fakes.get_mut(&stop.endpoint).expect("a known endpoint");
        if fence < fake.fence {
            return Err(OrderError::Refused {
                refusal: Refusal::Fence,
                clock_ms: Some(now),
            });
        }
        fake.fence = fence;
        let last = fake.refused.entry(Arc::clone(&stop.task)).or_default();
        *last = (*last).max(stop.run);
        if let Some(run) = fake.running.get_mut(&stop.task).filter(|run| run.number == stop.run) {
            run.stops_at.get_or_insert(now + STOP_MS);
        }
        Ok(now)
    }

    pub fn hold(&mut self, endpoint: &Arc<str>, hold: &Hold, fence: u64, now: u64) -> Result<Report, OrderError> {
        let fake = self.fakes.get_mut(endpoint).expect("a known endpoint");
        if fence < fake.fence {
            return Err(OrderError::Refused {
                refusal: Refusal::Fence,
                clock_ms: Some(now),
            });
        }
        fake.fence = fence;
        fake.until = fake.until.max(hold.lease_end.unwrap_or(0));
        for end in fake.ended.iter().filter(|end| end.number <= hold.seen) {
            if end.outcome == Outcome::Done && !fake.stale.contains(&end.number) {
                self.noted.insert(Arc::clone(&end.task));
            }
        }
        fake.ended.retain(|end| end.number > hold.seen);
        let running = fake.running.iter().map(|(task, run)| Running {
            task: Arc::clone(task),
            run: run.number,
            checkpoint: name(""),
            percent: (run.worked * 100 / self.kinds[&(parse(task).job, parse(task).step)].work_ms) as f64,
            load: 0.0,
        });
        Ok(Report {
            born: Some(fake.born),
            clock_ms: now,
            running: running.collect(),
            ended: fake.ended.clone(),
        })
    }

    /// Lets `span` milliseconds of work pass.
    pub fn work(&mut self, span: u64, now: u64) {
        // Members that are present, by gang and run.
        let mut present: BTreeMap<(Arc<str>, u32, u32), u32> = BTreeMap::new();
        let mut slowest: BTreeMap<(Arc<str>, u32, u32), u64> = BTreeMap::new();
        for fake in self.fakes.values().filter(|fake| fake.up) {
            for (task, run) in &fake.running {
                let task = parse(task);
                let key = (Arc::clone(&task.job), task.step, run.number);
                *present.entry(key.clone()).or_default() += 1;
                let worked = slowest.entry(key).or_insert(u64::MAX);
                *worked = (*worked).min(run.worked);
            }
        }
        for fake in self.fakes.values_mut().filter(|fake| fake.until <= now) {
            fake.stale.extend(fake.ended.iter().map(|end| end.number));
        }
        let mut ends: Vec<(Arc<str>, Arc<str>, Outcome)> = Vec::new();
        for (endpoint, fake) in self.fakes.iter_mut().filter(|(_, fake)| fake.up) {
            for (text, run) in &mut fake.running {
                let task = parse(text);
                let kind = &self.kinds[&(Arc::clone(&task.job), task.step)];
                let key = (Arc::clone(&task.job), task.step, run.number);
                let whole = kind.members == 1 || present[&key] == kind.members;
                if whole {
                    run.worked = (run.worked + span).min(kind.work_ms);
                }
                let ready = kind.members == 1 || slowest[&key] >= kind.work_ms;
                let outcome = if fake.until <= now {
                    Outcome::Lapsed
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    Outcome::Stopped
                } else if run.worked >= kind.work_ms && ready && whole {
                    Outcome::Done
                } else if !whole && run.worked > 0 {
                    Outcome::Broken
                } else if !whole && now - run.since > GANG_MS {
                    Outcome::Alone
                } else {
                    continue;
                };
                ends.push((Arc::clone(endpoint), Arc::clone(text), outcome));
            }
        }
        for (endpoint, text, outcome) in ends {
            let task = parse(&text);
            let kind = self.kind(&task);
            let fake = self.fakes.get_mut(&endpoint).expect("a known endpoint");
            let Some(run) = fake.running.remove(&text) else {
                continue;
            };
            let last = fake.refused.entry(Arc::clone(&text)).or_default();
            *last = (*last).max(run.number);
            if outcome == Outcome::Done {
                let index = if kind.members > 1 { 0 } else { task.index };
                self.done.insert((Arc::clone(&task.job), task.step, index));
            }
            fake.ended.push(End {
                number: fake.next,
                task: text,
                run: run.number,
                outcome,
                checkpoint: name(""),
            });
            fake.next += 1;
        }
    }

    /// A crash: everything is lost, and a new life begins.
    pub fn crash(&mut self, endpoint: &Arc<str>) {
        let fake = self.fakes.get_mut(endpoint).expect("a known endpoint");
        *fake = Fake::new(fake.born + 1);
    }
}

impl Fake {
    fn new(born: u64) -> Self {
        Self {
            born,
            up: true,
            cut: false,
            fence: 0,
            until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            stale: BTreeSet::new(),
            next: 1,
            refused: BTreeMap::new(),
        }
    }
}
