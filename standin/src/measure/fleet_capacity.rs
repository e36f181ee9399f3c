//! Free resources of all endpoints.
//!
//! The replay allocates from its own copy to check the decisions of a policy; each baseline has one for its decisions.

use std::collections::BTreeMap;

use yuccaridge::job::{Adjacency, Seat, Shape};
use yuccaridge::name::EndpointName;
use yuccaridge::plan::EndpointSpec;

use super::violation::Violation;

/// Free resources of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCapacity {
    /// Properties of the endpoint.
    pub spec: EndpointSpec,
    /// Bit set of the free accelerators.
    pub free_accelerators: u64,
    free_cores: u32,
    free_memory_mb: u64,
    free_slots: u16,
    /// Whether new jobs may be placed on it.
    pub open: bool,
}

impl EndpointCapacity {
    fn new(spec: EndpointSpec) -> Self {
        Self {
            free_accelerators: (1 << spec.accelerators) - 1,
            free_cores: spec.cores,
            free_memory_mb: spec.memory_mb,
            free_slots: spec.slots,
            open: true,
            spec,
        }
    }

    /// Number of members of this shape that fit without the accelerators in `masked`.
    pub fn members_that_fit(&self, shape: &Shape, masked: u64) -> u32 {
        if !self.open {
            return 0;
        }
        let mut count = u32::from(self.free_slots);
        if let Some(n) = (self.free_accelerators & !masked)
            .count_ones()
            .checked_div(u32::from(shape.accelerators))
        {
            count = count.min(n);
        }
        if let Some(n) = self.free_cores.checked_div(shape.cores) {
            count = count.min(n);
        }
        if let Some(n) = self.free_memory_mb.checked_div(shape.memory_mb) {
            count = count.min(u32::try_from(n).unwrap_or(u32::MAX));
        }
        count
    }

    /// Name of the endpoint's adjacency group; the seats of a gang must be in one group.
    pub fn adjacency_group(&self, adjacent: Adjacency) -> &str {
        match adjacent {
            Adjacency::Endpoint => self.spec.name.as_str(),
            Adjacency::Rack => self.spec.rack.as_str(),
            Adjacency::Domain => self.spec.domain.as_str(),
            Adjacency::Any => "",
        }
    }
}

/// Bit set of a seat's accelerators; `None` if an index occurs twice or is 64 or more.
pub fn accelerator_mask(seat: &Seat) -> Option<u64> {
    let mut mask = 0;
    for &index in &seat.accelerators {
        let bit = 1_u64.checked_shl(u32::from(index))?;
        if mask & bit != 0 {
            return None;
        }
        mask |= bit;
    }
    Some(mask)
}

/// Free resources of all endpoints.
#[derive(Debug, Default, Clone)]
pub struct FleetCapacity {
    endpoints: BTreeMap<EndpointName, EndpointCapacity>,
}

impl FleetCapacity {
    /// Adds an endpoint, or reopens a known one.
    pub fn add(&mut self, spec: EndpointSpec) {
        self.endpoints
            .entry(spec.name.clone())
            .or_insert_with(|| EndpointCapacity::new(spec))
            .open = true;
    }

    /// Closes an endpoint to new jobs.
    pub fn close(&mut self, endpoint: &EndpointName) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.open = false;
        }
    }

    /// All endpoints, in order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointCapacity> {
        self.endpoints.values()
    }

    /// Allocates the seats of a whole gang, or nothing if they break a rule.
    pub fn allocate(&mut self, shape: &Shape, seats: &[Seat]) -> Result<(), Violation> {
        if seats.len() != usize::from(shape.members) {
            return Err(Violation::PartialGang);
        }
        let before = self.endpoints.clone();
        let mut group = None;
        for seat in seats {
            let taken = self.allocate_seat(shape, seat).and_then(|()| {
                let here = self.endpoints[&seat.endpoint]
                    .adjacency_group(shape.adjacent)
                    .to_owned();
                if *group.get_or_insert_with(|| here.clone()) == here {
                    Ok(())
                } else {
                    Err(Violation::Misplaced)
                }
            });
            if taken.is_err() {
                self.endpoints = before;
                return taken;
            }
        }
        Ok(())
    }

    fn allocate_seat(&mut self, shape: &Shape, seat: &Seat) -> Result<(), Violation> {
        let endpoint = self.endpoints.get_mut(&seat.endpoint).ok_or(Violation::Misplaced)?;
        let mask = accelerator_mask(seat).ok_or(Violation::HeldTwice)?;
        if mask.count_ones() != u32::from(shape.accelerators) {
            return Err(Violation::PartialGang);
        }
        if !endpoint.open || mask >> endpoint.spec.accelerators != 0 {
            return Err(Violation::Misplaced);
        }
        if endpoint.free_accelerators & mask != mask {
            return Err(Violation::HeldTwice);
        }
        if endpoint.free_slots == 0 || endpoint.free_cores < shape.cores || endpoint.free_memory_mb < shape.memory_mb {
            return Err(Violation::Misplaced);
        }
        endpoint.free_accelerators &= !mask;
        endpoint.free_slots -= 1;
        endpoint.free_cores -= shape.cores;
        endpoint.free_memory_mb -= shape.memory_mb;
        Ok(())
    }

    /// Releases seats.
    pub fn release(&mut self, shape: &Shape, seats: &[Seat]) {
        for seat in seats {
            let Some(endpoint) = self.endpoints.get_mut(&seat.endpoint) else {
                continue;
            };
            endpoint.free_accelerators |= accelerator_mask(seat).unwrap_or(0);
            endpoint.free_slots += 1;
            endpoint.free_cores += shape.cores;
            endpoint.free_memory_mb += shape.memory_mb;
        }
    }

    /// Number of free accelerators on open endpoints.
    pub fn free_accelerators(&self) -> u32 {
        self.endpoints()
            .filter(|endpoint| endpoint.open)
            .map(|endpoint| endpoint.free_accelerators.count_ones())
            .sum()
    }

    /// Number of accelerators that are used if as many gangs of this shape as fit are placed.
    pub fn usable_accelerators(&self, shape: &Shape) -> u32 {
        let mut groups = BTreeMap::new();
        for endpoint in self.endpoints() {
            *groups.entry(endpoint.adjacency_group(shape.adjacent)).or_insert(0) += endpoint.members_that_fit(shape, 0);
        }
        let gangs: u32 = groups.values().map(|n| n / u32::from(shape.members)).sum();
        gangs * shape.total_accelerators()
    }
}
