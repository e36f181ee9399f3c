//! Fixture: a leader, its endpoints and the advice service in virtual time.
//!
//! Endpoints run what they accept until it is done, and refuse starts without a valid ticket or without room. Orders and
//! reports take no time; calls for advice take as long as the service needs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use yuccaridge::dispatch::{Dispatcher, Start, Tuning, UnitState};
use yuccaridge::graph::{Phase, Step};
use yuccaridge::port::{AdviceTerms, EndpointEntry, OrderError, Outcome, Refusal, SiteConfig};

use crate::advice_service::{AdviceService, Answer, Behavior};
use crate::world::{BORN, T0, World, config, entry, name, submission};

/// Time between two turns of the leader, in milliseconds.
const TICK_MS: u64 = 10;

/// Time between two reports of an endpoint without ends, in milliseconds.
const REPORT_MS: u64 = 500;

/// Accelerators of an endpoint.
const ACCELERATORS: u64 = 8;

/// Time with room and without a call after which a job counts as waiting beside an idle service, in milliseconds. A leader
/// may pause for half a second after a failed call.
const IDLE_MS: u64 = 700;

/// The same for a gang, which may wait for a rack of its own. Users allow at most 3 s.
const GANG_IDLE_MS: u64 = 3_000;

/// A running task.
struct Run {
    number: u32,
    accelerators: u64,
    started_at: u64,
    done_at: u64,
}

/// An endpoint and what runs on it.
struct FakeEndpoint {
    born: u64,
    running: BTreeMap<Arc<str>, Run>,
    ended: Vec<(u64, Arc<str>, u32, Outcome)>,
    next_end: u64,
}

/// A submitted job.
#[derive(Clone)]
struct SiteJob {
    queue: &'static str,
    step: Step,
    submitted_at: u64,
    first_start: Option<u64>,
    starts: usize,
}

/// The whole site.
pub struct AdvisedSite {
    pub world: World,
    pub service: AdviceService,
    endpoints: BTreeMap<Arc<str>, FakeEndpoint>,
    config: SiteConfig,
    jobs: BTreeMap<Arc<str>, SiteJob>,
    /// Endpoints whose next run fails.
    failing: BTreeSet<Arc<str>>,
    /// Number of the leader.
    leader: u64,
    /// Since when each job waits beside an idle service, with endpoints that it may use and room there.
    idle_since: BTreeMap<Arc<str>, u64>,
    pub violations: Vec<String>,
    pub refused_starts: usize,
}

/// A configuration with terms of advice for the queues `advised` and `advised-too`.
fn config_with(terms: &[AdviceTerms]) -> SiteConfig {
    let mut config = config();
    config.version += 1;
    for (queue, terms) in ["advised", "advised-too"].into_iter().zip(terms) {
        let mut queue_config = (*config.queues["advised"]).clone();
        queue_config.name = name(queue);
        queue_config.prefix = name(&format!("/{queue}/"));
        queue_config.advice = Some(*terms);
        config.queues.insert(name(queue), Arc::new(queue_config));
    }
    config
}

impl AdvisedSite {
    /// A site with idle endpoints and terms of advice for the queues `advised` and `advised-too`.
    pub fn new(endpoints: usize, terms: &[AdviceTerms]) -> Self {
        let config = config_with(terms);
        let mut site = Self {
            world: World::empty(),
            service: AdviceService::new(),
            endpoints: BTreeMap::new(),
            config,
            jobs: BTreeMap::new(),
            failing: BTreeSet::new(),
            leader: 0,
            idle_since: BTreeMap::new(),
            violations: Vec::new(),
            refused_starts: 0,
        };
        for index in 0..endpoints {
            let endpoint = FakeEndpoint {
                born: BORN,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
            };
            site.endpoints.insert(name(&format!("e{index}")), endpoint);
        }
        site.lead();
        site
    }

    /// Entry of an incarnation of an endpoint in the list.
    fn list_entry(endpoint: &str, born: u64) -> EndpointEntry {
        let index: usize = endpoint[1..].parse().expect("a number");
        EndpointEntry {
            born,
            ..entry(&format!("10.0.0.{index}:1"), &format!("r{}", index / 4))
        }
    }

    /// Lets a new leader take over that knows what was stored.
    pub fn replace_leader(&mut self) {
        let now = self.world.now;
        self.leader += 1;
        self.world.dispatcher = Dispatcher::new(Tuning::default(), now);
        self.world.dispatcher.restore_confirmation(now);
        self.lead();
        for (id, job) in self.jobs.clone() {
            let write = self.world.stored.get(&id).cloned();
            let phase = write.as_ref().map_or(Phase::Queued, |write| write.phase);
            if phase.is_final() {
                continue;
            }
            let record = write.as_ref().map(|write| &write.record);
            let submission = submission(job.queue, vec![job.step]);
            let age_ms = now - job.submitted_at;
            self.world
                .dispatcher
                .submit(&id, submission, record, phase, age_ms, now);
        }
    }

    fn lead(&mut self) {
        let now = self.world.now;
        self.world.dispatcher.configure(Arc::new(self.config.clone()));
        for (endpoint, fake) in &self.endpoints {
            let entry = Self::list_entry(endpoint, fake.born);
            self.world.dispatcher.update_endpoint(endpoint, Some(entry), now);
        }
        self.report_all(true);
    }

    /// Sets the priority of a queue.
    pub fn prioritize(&mut self, queue: &str, priority: u32) {
        self.config.version += 1;
        let queue = self.config.queues.get_mut(queue).expect("a known queue");
        Arc::make_mut(queue).priority = priority;
        self.world.dispatcher.configure(Arc::new(self.config.clone()));
    }

    pub fn submit(&mut self, id: &str, queue: &'static str, step: Step) {
        let job = SiteJob {
            queue,
            step: step.clone(),
            submitted_at: self.world.now,
            first_start: None,
            starts: 0,
        };
        self.jobs.insert(name(id), job);
        self.world.submit(id, queue, vec![step]);
    }

    /// Restarts an endpoint; what runs there is lost.
    pub fn restart(&mut self, endpoint: &str) {
        let now = self.world.now;
        let fake = self.endpoints.get_mut(endpoint).expect("a known endpoint");
        *fake = FakeEndpoint {
            born: fake.born + 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
        };
        let entry = Self::list_entry(endpoint, fake.born);
        self.world.dispatcher.update_endpoint(&name(endpoint), Some(entry), now);
        self.report_all(true);
    }

    /// Changes how the advice service treats calls.
    pub fn behave(&mut self, behavior: Behavior) {
        self.service.behave(behavior, self.world.now);
    }

    /// Advances the time by `span_ms`.
    pub fn advance(&mut self, span_ms: u64) {
        let end = self.world.now + span_ms;
        while self.world.now < end {
            self.world.now += TICK_MS;
            self.tick();
        }
    }

    /// Advances the time until all jobs are done, for at most `limit_ms`; returns how long it took, `None` if some are not.
    pub fn advance_until_done(&mut self, limit_ms: u64) -> Option<u64> {
        let begin = self.world.now;
        while self.world.now < begin + limit_ms {
            if self.unfinished().is_empty() {
                return Some(self.world.now - begin);
            }
            self.advance(TICK_MS);
        }
        None
    }

    fn tick(&mut self) {
        let now = self.world.now;
        let born = self
            .endpoints
            .iter()
            .map(|(id, fake)| (Arc::clone(id), fake.born))
            .collect();
        for answer in self.service.advance(&born, now) {
            self.deliver(answer);
        }
        self.end_runs();
        self.report_all((now - T0).is_multiple_of(REPORT_MS));
        self.world.turn();
        self.send_orders();
        self.check_idle();
    }

    fn deliver(&mut self, (caller, request, advice): Answer) {
        if caller == self.leader {
            self.world.dispatcher.advised(&request, advice, self.world.now);
        }
    }

    fn end_runs(&mut self) {
        let now = self.world.now;
        for (endpoint, fake) in &mut self.endpoints {
            let done = fake.running.extract_if(.., |_, run| run.done_at <= now);
            for (task, run) in done {
                let failed = self.failing.remove(endpoint);
                let outcome = if failed { Outcome::Failed } else { Outcome::Done };
                fake.ended.push((fake.next_end, task, run.number, outcome));
                fake.next_end += 1;
            }
        }
    }

    /// Reports of all endpoints, or of those with new ends.
    fn report_all(&mut self, all: bool) {
        let now = self.world.now;
        for (endpoint, fake) in &mut self.endpoints {
            if !all && fake.ended.is_empty() {
                continue;
            }
            let running: Vec<_> = fake
                .running
                .iter()
                .map(|(task, run)| {
                    let share = (now - run.started_at) as f64 / (run.done_at - run.started_at) as f64;
                    (&**task, run.number, 100.0 * share)
                })
                .collect();
            // Renews the leases there.
            let _ = self.world.dispatcher.hold(endpoint, now);
            let ended = std::mem::take(&mut fake.ended);
            let ended: Vec<_> = ended
                .iter()
                .map(|(number, task, run, how)| (*number, &**task, *run, *how))
                .collect();
            self.world.report_as(endpoint, fake.born, 0, &running, &ended);
        }
    }

    fn send_orders(&mut self) {
        let now = self.world.now;
        for request in std::mem::take(&mut self.world.advice_requests) {
            let queue = self.jobs[&request.job].queue;
            let terms = self.config.queues[queue].advice.expect("terms of advice");
            if let Some(answer) = self.service.call(self.leader, request, terms, now) {
                self.deliver(answer);
            }
        }
        for stop in std::mem::take(&mut self.world.stops) {
            let fake = self.endpoints.get_mut(&stop.endpoint).expect("a known endpoint");
            if fake.born == stop.born && fake.running.get(&stop.task).is_some_and(|run| run.number == stop.run) {
                fake.running.remove(&stop.task);
                fake.ended
                    .push((fake.next_end, Arc::clone(&stop.task), stop.run, Outcome::Stopped));
                fake.next_end += 1;
            }
            self.world.dispatcher.stopped(&stop, Ok(now), now);
        }
        for start in std::mem::take(&mut self.world.starts) {
            let answer = self.start(&start).map_err(|refusal| OrderError::Refused {
                refusal,
                clock_ms: Some(now),
            });
            self.refused_starts += usize::from(answer.is_err());
            self.world.dispatcher.started(&start, answer.map(|()| now), now);
        }
    }

    fn start(&mut self, start: &Start) -> Result<(), Refusal> {
        let now = self.world.now;
        let fake = self.endpoints.get_mut(&start.endpoint).expect("a known endpoint");
        let job = self.jobs.get_mut(&start.job).expect("a known job");
        let needs_ticket = self.config.queues[job.queue].advice.is_some();
        if fake.born != start.born {
            return Err(Refusal::Reborn);
        }
        let step = format!("{}.0.0", start.job);
        if needs_ticket
            && !self
                .service
                .accepts(&start.ticket, &step, &start.endpoint, fake.born, now)
        {
            return Err(Refusal::Ticket);
        }
        let used: u64 = fake.running.values().map(|run| run.accelerators).sum();
        if used + job.step.accelerators > ACCELERATORS {
            return Err(Refusal::Room);
        }
        job.first_start.get_or_insert(now);
        job.starts += 1;
        let run = Run {
            number: start.run,
            accelerators: job.step.accelerators,
            started_at: now,
            done_at: now + job.step.estimate_ms,
        };
        fake.running.insert(Arc::clone(&start.task), run);
        Ok(())
    }

    /// Notes jobs that wait although the service is idle, or answers calls whose tickets nobody uses, while an endpoint that
    /// they may use has room.
    fn check_idle(&mut self) {
        let now = self.world.now;
        let idle_service = self.service.is_idle(now);
        for (id, job) in &self.jobs {
            if !idle_service || job.first_start.is_some() || !self.has_room(id, &job.step) {
                self.idle_since.remove(id);
                continue;
            }
            let since = *self.idle_since.entry(Arc::clone(id)).or_insert(now);
            let limit_ms = if job.step.gang { GANG_IDLE_MS } else { IDLE_MS };
            if now - since == limit_ms {
                self.violations
                    .push(format!("{}: {id} waits beside an idle advice service", now - T0));
            }
        }
    }

    /// Whether all tasks of a step fit on endpoints that it may use.
    fn has_room(&self, id: &str, step: &Step) -> bool {
        let name = format!("{id}.0.0");
        let mut fitting = 0;
        for (endpoint, fake) in &self.endpoints {
            let used: u64 = fake.running.values().map(|run| run.accelerators).sum();
            if self.service.allows(&name, endpoint) {
                fitting += (ACCELERATORS - used) / step.accelerators;
            }
        }
        fitting >= u64::from(step.count)
    }

    /// Jobs with units that are not done.
    pub fn unfinished(&self) -> Vec<Arc<str>> {
        let jobs = self.world.dispatcher.jobs().values();
        let open = jobs.filter(|job| job.units.iter().any(|unit| unit.state != UnitState::Done));
        open.map(|job| Arc::clone(&job.id)).collect()
    }

    /// Time from the submission to the first start, by job; `None` for those that have not started.
    pub fn waits(&self) -> Vec<Option<u64>> {
        let jobs = self.jobs.values();
        jobs.map(|job| job.first_start.map(|at| at - job.submitted_at))
            .collect()
    }

    /// The same for one job.
    pub fn wait(&self, id: &str) -> Option<u64> {
        let job = &self.jobs[id];
        job.first_start.map(|at| at - job.submitted_at)
    }

    /// Endpoints on which the step of a job may run.
    pub fn allowed(&self, id: &str) -> Vec<Arc<str>> {
        let step = format!("{id}.0.0");
        let names = self.endpoints.keys();
        names.filter(|name| self.service.allows(&step, name)).cloned().collect()
    }

    /// Lets the first run on each of these endpoints fail.
    pub fn fail_once_on(&mut self, endpoints: &[Arc<str>]) {
        self.failing.extend(endpoints.iter().cloned());
    }

    /// Number of submitted jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Number of handled calls whose tickets started nothing.
    pub fn unused_answers(&self) -> usize {
        self.service.handled - self.service.used.len()
    }
}
