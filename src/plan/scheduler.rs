//! The product's policy.

use std::collections::{BTreeMap, BTreeSet};

use super::fleet::Fleet;
use super::place::{self, Offer};
use super::{Decision, Event, Policy, QueuedJob, RunningJob, Weights};
use crate::job::Seat;
use crate::name::{JobId, PoolName, TeamName};
use crate::team::Team;
use crate::time::Millis;

/// Seats of a job.
#[derive(Debug, Clone)]
struct Held {
    seats: Vec<Seat>,
}

#[derive(Debug, Clone)]
struct Entry {
    job: QueuedJob,
    held: Option<Held>,
}

/// Decides for one pool.
#[derive(Debug)]
pub struct Scheduler {
    pool: PoolName,
    weights: Weights,
    fleet: Fleet,
    teams: BTreeMap<TeamName, Team>,
    jobs: BTreeMap<JobId, Entry>,
    waiting: BTreeSet<(Millis, JobId)>,
}

impl Scheduler {
    /// Starts empty.
    pub fn new(pool: PoolName, weights: Weights) -> Self {
        Self {
            pool,
            weights,
            fleet: Fleet::default(),
            teams: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Pool that it decides for.
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    fn queue(&mut self, job: QueuedJob) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        self.waiting.insert((job.since, job.id.clone()));
        self.jobs.insert(job.id.clone(), Entry { job, held: None });
    }

    fn recover(&mut self, running: RunningJob) {
        let RunningJob {
            job, seats, guaranteed, ..
        } = running;
        self.drop_job(&job.id);
        self.fleet.hold(&job.id, &job.shape, &seats, guaranteed);
        let held = Some(Held { seats });
        self.jobs.insert(job.id.clone(), Entry { job, held });
    }

    fn free(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(held) = entry.held.take() {
            self.fleet.release(id, &entry.job.shape, &held.seats);
        }
    }

    fn drop_job(&mut self, id: &JobId) {
        self.free(id);
        if let Some(entry) = self.jobs.remove(id) {
            self.waiting.remove(&(entry.job.since, entry.job.id));
        }
    }

    fn unplace(&mut self, id: &JobId) {
        self.free(id);
        if let Some(entry) = self.jobs.get(id) {
            self.waiting.insert((entry.job.since, id.clone()));
        }
    }

    fn find(&self, job: &QueuedJob) -> Option<Vec<Seat>> {
        let mut offers = Vec::new();
        for (index, worker) in self.fleet.with_free(u32::from(job.shape.accelerators)) {
            let members = worker.members(&job.shape, worker.free());
            if members == 0 {
                continue;
            }
            let left = f64::from(worker.free().count_ones()) / f64::from(worker.spec.accelerators.max(1));
            offers.push(Offer {
                worker: index,
                members,
                free: worker.free(),
                cost: self.weights.fragmentation * left,
            });
        }
        let offers = place::choose(&self.fleet, &job.shape, offers)?;
        place::seats(&self.fleet, &job.shape, &offers)
    }
}

impl Policy for Scheduler {
    fn apply(&mut self, _now: Millis, event: Event) {
        match event {
            Event::Teams(teams) => self.teams = teams,
            Event::WorkerUp(spec) => {
                self.fleet.join(spec);
            }
            Event::WorkerQuarantined(_) => {}
            Event::WorkerLeaving(name) => {
                let index = self.fleet.enter(&name);
                self.fleet.update(index, |worker| worker.leaving = true);
            }
            Event::WorkerDown(name) => {
                let index = self.fleet.enter(&name);
                self.fleet.update(index, |worker| worker.up = false);
            }
            Event::Queued(job) => self.queue(job),
            Event::Recovered(running) => self.recover(running),
            Event::Started { .. } | Event::Usage { .. } => {}
            Event::Unplaced { job, .. } => self.unplace(&job),
            Event::Ended { job, .. } | Event::Withdrawn(job) => self.drop_job(&job),
        }
    }

    fn decide(&mut self, _now: Millis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for key in self.waiting.clone() {
            let job = self.jobs[&key.1].job.clone();
            let Some(seats) = self.find(&job) else {
                if !self.fleet.workers().is_empty() && !place::possible(&self.fleet, &job.shape) {
                    self.drop_job(&job.id);
                    decisions.push(Decision::Reject {
                        job: job.id,
                        reason: "no worker, rack or domain of the pool can ever hold this shape".to_owned(),
                        failed: false,
                    });
                }
                continue;
            };
            let guaranteed = !job.checkpoints && !job.idempotent;
            self.waiting.remove(&key);
            self.fleet.hold(&job.id, &job.shape, &seats, guaranteed);
            if let Some(entry) = self.jobs.get_mut(&job.id) {
                entry.held = Some(Held { seats: seats.clone() });
            }
            decisions.push(Decision::Place {
                job: job.id,
                seats,
                guaranteed,
            });
        }
        decisions
    }

    fn wake(&self) -> Option<Millis> {
        None
    }
}
