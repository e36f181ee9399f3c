//! The endpoints of the pool, indexed by free accelerators and by accelerators available for new cells.

use std::collections::{BTreeMap, BTreeSet};

use super::endpoint::{Endpoint, Resources, Task};
use super::{EndpointSpec, mask};
use crate::job::Seat;
use crate::name::{DomainName, EndpointName, JobId, RackName};

/// Number of accelerators and index of the endpoint.
type CountKey = (u32, usize);

/// A rack and its totals over usable endpoints.
#[derive(Debug, Default)]
pub(super) struct Rack {
    /// Indices of its endpoints.
    pub endpoints: Vec<usize>,
    /// Accelerators.
    pub total: u32,
    /// Free accelerators.
    pub free: u32,
    /// Accelerators available for new cells.
    pub unassigned: u32,
}

/// The values of an endpoint that the indices depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Counts {
    usable: bool,
    rack: usize,
    total: u32,
    free: u32,
    unassigned: u32,
}

impl Counts {
    fn of(endpoint: &Endpoint) -> Self {
        Self {
            usable: endpoint.usable(),
            rack: endpoint.rack,
            total: endpoint.mask.count_ones(),
            free: endpoint.free().count_ones(),
            unassigned: endpoint.unassigned().count_ones(),
        }
    }
}

/// All endpoints that this scheduler has ever seen.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    endpoints: Vec<Endpoint>,
    names: BTreeMap<EndpointName, usize>,
    rack_names: BTreeMap<RackName, usize>,
    racks: Vec<Rack>,
    domains: BTreeMap<DomainName, usize>,
    free: BTreeSet<CountKey>,
    unassigned: BTreeSet<CountKey>,
    /// Highest estimated speed.
    pub fastest: f64,
    /// Increases whenever an endpoint is added or its properties change.
    pub version: u64,
}

impl Fleet {
    pub(super) fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    pub(super) fn endpoint(&self, index: usize) -> &Endpoint {
        &self.endpoints[index]
    }

    pub(super) fn racks(&self) -> &[Rack] {
        &self.racks
    }

    pub(super) fn index(&self, name: &EndpointName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Changes an endpoint and updates the indices.
    pub(super) fn update<F, R>(&mut self, index: usize, change: F) -> R
    where
        F: FnOnce(&mut Endpoint) -> R,
    {
        let endpoint = &mut self.endpoints[index];
        let before = Counts::of(endpoint);
        let result = change(endpoint);
        let after = Counts::of(endpoint);
        if before != after {
            self.remove_counts(index, before);
            self.insert_counts(index, after);
        }
        result
    }

    fn insert_counts(&mut self, index: usize, counts: Counts) {
        if !counts.usable {
            return;
        }
        self.free.insert((counts.free, index));
        self.unassigned.insert((counts.unassigned, index));
        let rack = &mut self.racks[counts.rack];
        rack.total += counts.total;
        rack.free += counts.free;
        rack.unassigned += counts.unassigned;
    }

    fn remove_counts(&mut self, index: usize, counts: Counts) {
        if !counts.usable {
            return;
        }
        self.free.remove(&(counts.free, index));
        self.unassigned.remove(&(counts.unassigned, index));
        let rack = &mut self.racks[counts.rack];
        rack.total -= counts.total;
        rack.free -= counts.free;
        rack.unassigned -= counts.unassigned;
    }

    fn add_to_rack(&mut self, name: &RackName, endpoint: usize) -> usize {
        let count = self.rack_names.len();
        let rack = *self.rack_names.entry(name.clone()).or_insert(count);
        if rack == self.racks.len() {
            self.racks.push(Rack::default());
        }
        if !self.racks[rack].endpoints.contains(&endpoint) {
            self.racks[rack].endpoints.push(endpoint);
        }
        rack
    }

    /// Adds an endpoint or updates its properties.
    pub(super) fn upsert(&mut self, spec: EndpointSpec) -> usize {
        let count = self.endpoints.len();
        let index = *self.names.entry(spec.name.clone()).or_insert(count);
        let rack = self.add_to_rack(&spec.rack, index);
        let domains = self.domains.len();
        let domain = *self.domains.entry(spec.domain.clone()).or_insert(domains);
        if index == count {
            let endpoint = Endpoint::new(spec, rack, domain);
            self.insert_counts(index, Counts::of(&endpoint));
            self.endpoints.push(endpoint);
            self.version += 1;
            return index;
        }
        let before = self.endpoints[index].rack;
        if before != rack {
            self.racks[before].endpoints.retain(|&other| other != index);
        }
        if self.endpoints[index].spec != spec {
            self.version += 1;
        }
        self.update(index, |endpoint| {
            endpoint.mask = mask::first(spec.accelerators);
            endpoint.spec = spec;
            endpoint.rack = rack;
            endpoint.domain = domain;
            endpoint.up = true;
            endpoint.leaving = false;
        });
        index
    }

    /// Index of an endpoint. An unknown endpoint is added as absent, since recovered jobs may hold seats on it.
    pub(super) fn index_or_absent(&mut self, name: &EndpointName) -> usize {
        if let Some(index) = self.index(name) {
            return index;
        }
        let spec = EndpointSpec {
            name: name.clone(),
            rack: RackName::new("absent").expect("a valid name"),
            domain: DomainName::new("absent").expect("a valid name"),
            cores: 0,
            memory_mb: 0,
            accelerators: 0,
            slots: 0,
        };
        let index = self.upsert(spec);
        self.update(index, |endpoint| endpoint.up = false);
        index
    }

    /// Usable endpoints with at least `least` free accelerators, in ascending order of their number.
    pub(super) fn with_free(&self, least: u32) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.free
            .range((least, 0)..)
            .map(|&(_, index)| (index, &self.endpoints[index]))
    }

    /// Usable endpoints with at least `least` accelerators available for new cells, in ascending order of their number.
    pub(super) fn with_unassigned(&self, least: u32) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.unassigned
            .range((least, 0)..)
            .map(|&(_, index)| (index, &self.endpoints[index]))
    }

    pub(super) fn add_task(&mut self, endpoint: &EndpointName, task: Task) {
        let index = self.index_or_absent(endpoint);
        self.update(index, |endpoint| endpoint.add_task(task));
    }

    /// Changes the tasks of a job. `change` must not modify masks or shapes, since the totals would become wrong.
    pub(super) fn update_tasks<F>(&mut self, job: &JobId, seats: &[Seat], change: F)
    where
        F: Fn(&mut Task),
    {
        for seat in seats {
            let Some(index) = self.index(&seat.endpoint) else {
                continue;
            };
            for task in &mut self.endpoints[index].tasks {
                if task.job == *job {
                    change(task);
                }
            }
        }
    }

    /// Removes a job's members from its seats.
    pub(super) fn remove_job(&mut self, job: &JobId, seats: &[Seat]) {
        for seat in seats {
            let Some(index) = self.index(&seat.endpoint) else {
                continue;
            };
            self.update(index, |endpoint| endpoint.remove_job(job));
        }
    }

    pub(super) fn set_speed(&mut self, index: usize, speed: f64) {
        self.endpoints[index].speed = speed;
    }

    /// Recomputes the highest speed.
    pub(super) fn update_fastest(&mut self) {
        self.fastest = 0.0;
        for endpoint in &self.endpoints {
            self.fastest = self.fastest.max(endpoint.speed);
        }
    }

    /// Indices of a rack's endpoints.
    pub(super) fn rack_endpoints(&self, rack: &RackName) -> Vec<usize> {
        let rack = self.rack_names.get(rack).map(|&index| &self.racks[index]);
        rack.map_or(Vec::new(), |rack| rack.endpoints.clone())
    }

    /// Sets the resources promised to the job with the reservation.
    pub(super) fn set_reserved(&mut self, index: usize, mask: u64, load: Resources) {
        self.endpoints[index].reserved = mask;
        self.endpoints[index].reserved_load = load;
    }
}
