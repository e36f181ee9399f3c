//! The workers of the pool, with an index by free accelerators.

use std::collections::{BTreeMap, BTreeSet};

use super::worker::{Task, Worker};
use super::{WorkerSpec, cell};
use crate::job::{Seat, Shape};
use crate::name::{DomainName, JobId, RackName, WorkerName};

/// Number of free accelerators and number of the worker.
type Free = (u32, usize);

/// All workers ever seen by this planner.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    workers: Vec<Worker>,
    names: BTreeMap<WorkerName, usize>,
    racks: BTreeMap<RackName, usize>,
    domains: BTreeMap<DomainName, usize>,
    free: BTreeSet<Free>,
}

impl Fleet {
    pub(super) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    pub(super) fn worker(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    pub(super) fn index(&self, name: &WorkerName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Changes a worker and keeps the index right.
    pub(super) fn update<F, R>(&mut self, index: usize, change: F) -> R
    where
        F: FnOnce(&mut Worker) -> R,
    {
        let worker = &mut self.workers[index];
        let before = (worker.free().count_ones(), worker.usable());
        let result = change(worker);
        let after = (worker.free().count_ones(), worker.usable());
        if before != after {
            self.free.remove(&(before.0, index));
            if after.1 {
                self.free.insert((after.0, index));
            }
        }
        result
    }

    /// Adds a worker or brings it up to date.
    pub(super) fn join(&mut self, spec: WorkerSpec) -> usize {
        let racks = self.racks.len();
        let rack = *self.racks.entry(spec.rack.clone()).or_insert(racks);
        let domains = self.domains.len();
        let domain = *self.domains.entry(spec.domain.clone()).or_insert(domains);
        if let Some(index) = self.index(&spec.name) {
            self.update(index, |worker| {
                worker.mask = cell::whole(spec.accelerators);
                worker.spec = spec;
                worker.rack = rack;
                worker.domain = domain;
                worker.up = true;
                worker.leaving = false;
            });
            return index;
        }
        let index = self.workers.len();
        self.names.insert(spec.name.clone(), index);
        let worker = Worker::new(spec, rack, domain);
        self.free.insert((worker.free().count_ones(), index));
        self.workers.push(worker);
        index
    }

    /// Number of a worker; one that never joined is entered as absent, since recovered jobs may hold seats there.
    pub(super) fn enter(&mut self, name: &WorkerName) -> usize {
        if let Some(index) = self.index(name) {
            return index;
        }
        let spec = WorkerSpec {
            name: name.clone(),
            rack: RackName::new("absent").expect("a valid name"),
            domain: DomainName::new("absent").expect("a valid name"),
            cores: 0,
            memory_mb: 0,
            accelerators: 0,
            slots: 0,
        };
        let index = self.join(spec);
        self.update(index, |worker| worker.up = false);
        index
    }

    /// Usable workers with at least `least` free accelerators, the fewest first.
    pub(super) fn with_free(&self, least: u32) -> impl Iterator<Item = (usize, &Worker)> {
        self.free
            .range((least, 0)..)
            .map(|&(_, index)| (index, &self.workers[index]))
    }

    /// Records the seats of a job.
    pub(super) fn hold(&mut self, job: &JobId, shape: &Shape, seats: &[Seat], firm: bool) {
        for seat in seats {
            let index = self.enter(&seat.worker);
            let task = Task {
                job: job.clone(),
                mask: cell::mask(&seat.accelerators),
                firm,
            };
            self.update(index, |worker| {
                worker.take(shape);
                worker.hold(task);
            });
        }
    }

    /// Frees the seats of a job.
    pub(super) fn release(&mut self, job: &JobId, shape: &Shape, seats: &[Seat]) {
        for seat in seats {
            let Some(index) = self.index(&seat.worker) else {
                continue;
            };
            self.update(index, |worker| {
                for _ in 0..worker.release(job) {
                    worker.give(shape);
                }
            });
        }
    }
}
