//! The workers of the pool, with indices by free accelerators and by room for guaranteed cells.

use std::collections::{BTreeMap, BTreeSet};

use super::endpoint::{Load, Task, Worker};
use super::{WorkerSpec, cell};
use crate::job::Seat;
use crate::name::{DomainName, JobId, RackName, WorkerName};

/// Count of accelerators and number of the worker.
type Entry = (u32, usize);

/// A rack and its totals over usable workers.
#[derive(Debug, Default)]
pub(super) struct Rack {
    /// Numbers of its workers.
    pub workers: Vec<usize>,
    /// Accelerators.
    pub total: u32,
    /// Free accelerators.
    pub free: u32,
    /// Accelerators that can become part of a cell.
    pub spare: u32,
}

/// What the indices hold of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Counts {
    usable: bool,
    rack: usize,
    total: u32,
    free: u32,
    spare: u32,
}

impl Counts {
    fn of(worker: &Worker) -> Self {
        Self {
            usable: worker.usable(),
            rack: worker.rack,
            total: worker.mask.count_ones(),
            free: worker.free().count_ones(),
            spare: worker.spare().count_ones(),
        }
    }
}

/// All workers ever seen by this planner.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    workers: Vec<Worker>,
    names: BTreeMap<WorkerName, usize>,
    rack_names: BTreeMap<RackName, usize>,
    racks: Vec<Rack>,
    domains: BTreeMap<DomainName, usize>,
    free: BTreeSet<Entry>,
    spare: BTreeSet<Entry>,
    /// Greatest estimated speed.
    pub fastest: f64,
    /// Grows whenever the set of workers or a worker's size changes.
    pub version: u64,
}

impl Fleet {
    pub(super) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    pub(super) fn worker(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    pub(super) fn racks(&self) -> &[Rack] {
        &self.racks
    }

    pub(super) fn index(&self, name: &WorkerName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Changes a worker and keeps the indices right.
    pub(super) fn update<F, R>(&mut self, index: usize, change: F) -> R
    where
        F: FnOnce(&mut Worker) -> R,
    {
        let worker = &mut self.workers[index];
        let before = Counts::of(worker);
        let result = change(worker);
        let after = Counts::of(worker);
        if before != after {
            self.forget(index, before);
            self.enlist(index, after);
        }
        result
    }

    fn enlist(&mut self, index: usize, counts: Counts) {
        if !counts.usable {
            return;
        }
        self.free.insert((counts.free, index));
        self.spare.insert((counts.spare, index));
        let rack = &mut self.racks[counts.rack];
        rack.total += counts.total;
        rack.free += counts.free;
        rack.spare += counts.spare;
    }

    fn forget(&mut self, index: usize, counts: Counts) {
        if !counts.usable {
            return;
        }
        self.free.remove(&(counts.free, index));
        self.spare.remove(&(counts.spare, index));
        let rack = &mut self.racks[counts.rack];
        rack.total -= counts.total;
        rack.free -= counts.free;
        rack.spare -= counts.spare;
    }

    fn rack(&mut self, name: &RackName, worker: usize) -> usize {
        let count = self.rack_names.len();
        let rack = *self.rack_names.entry(name.clone()).or_insert(count);
        if rack == self.racks.len() {
            self.racks.push(Rack::default());
        }
        if !self.racks[rack].workers.contains(&worker) {
            self.racks[rack].workers.push(worker);
        }
        rack
    }

    /// Adds a worker or brings it up to date.
    pub(super) fn join(&mut self, spec: WorkerSpec) -> usize {
        let count = self.workers.len();
        let index = *self.names.entry(spec.name.clone()).or_insert(count);
        let rack = self.rack(&spec.rack, index);
        let domains = self.domains.len();
        let domain = *self.domains.entry(spec.domain.clone()).or_insert(domains);
        if index == count {
            let worker = Worker::new(spec, rack, domain);
            self.enlist(index, Counts::of(&worker));
            self.workers.push(worker);
            self.version += 1;
            return index;
        }
        let before = self.workers[index].rack;
        if before != rack {
            self.racks[before].workers.retain(|&other| other != index);
        }
        if self.workers[index].spec != spec {
            self.version += 1;
        }
        self.update(index, |worker| {
            worker.mask = cell::whole(spec.accelerators);
            worker.spec = spec;
            worker.rack = rack;
            worker.domain = domain;
            worker.up = true;
            worker.leaving = false;
        });
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

    /// Usable workers with at least `least` accelerators for cells, the fewest first.
    pub(super) fn with_spare(&self, least: u32) -> impl Iterator<Item = (usize, &Worker)> {
        self.spare
            .range((least, 0)..)
            .map(|&(_, index)| (index, &self.workers[index]))
    }

    /// Records one member.
    pub(super) fn hold(&mut self, worker: &WorkerName, task: Task) {
        let index = self.enter(worker);
        self.update(index, |worker| worker.hold(task));
    }

    /// Changes what is known of a job's members; masks and shapes must stay.
    pub(super) fn change<F>(&mut self, job: &JobId, seats: &[Seat], change: F)
    where
        F: Fn(&mut Task),
    {
        for seat in seats {
            let Some(index) = self.index(&seat.worker) else {
                continue;
            };
            for task in &mut self.workers[index].tasks {
                if task.job == *job {
                    change(task);
                }
            }
        }
    }

    /// Frees the seats of a job.
    pub(super) fn release(&mut self, job: &JobId, seats: &[Seat]) {
        for seat in seats {
            let Some(index) = self.index(&seat.worker) else {
                continue;
            };
            self.update(index, |worker| worker.release(job));
        }
    }

    /// Sets a worker's estimated speed.
    pub(super) fn set_speed(&mut self, index: usize, speed: f64) {
        self.workers[index].speed = speed;
    }

    /// Brings the greatest speed up to date.
    pub(super) fn find_fastest(&mut self) {
        self.fastest = 0.0;
        for worker in &self.workers {
            self.fastest = self.fastest.max(worker.speed);
        }
    }

    /// Numbers of a rack's workers.
    pub(super) fn rack_workers(&self, rack: &RackName) -> Vec<usize> {
        let rack = self.rack_names.get(rack).map(|&index| &self.racks[index]);
        rack.map_or(Vec::new(), |rack| rack.workers.clone())
    }

    /// Keeps room for the job that has a reservation.
    pub(super) fn set_kept(&mut self, index: usize, mask: u64, load: Load) {
        self.workers[index].kept = mask;
        self.workers[index].kept_load = load;
    }
}
