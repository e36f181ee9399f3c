//! Who holds which accelerators.
//!
//! The replay keeps one ledger as its own check on the policy, and each baseline keeps one to decide from.

use std::collections::BTreeMap;

use yuccaridge::job::{Adjacency, Seat, Shape};
use yuccaridge::name::EndpointName;
use yuccaridge::plan::EndpointSpec;

use super::violation::Violation;

/// What is left on one endpoint.
#[derive(Debug, Clone)]
pub struct Room {
    /// The endpoint.
    pub spec: EndpointSpec,
    /// Bit set of free accelerators.
    pub free: u64,
    cores: u32,
    memory_mb: u64,
    slots: u16,
    /// Whether it takes new work.
    pub open: bool,
}

impl Room {
    fn new(spec: EndpointSpec) -> Self {
        Self {
            free: (1 << spec.accelerators) - 1,
            cores: spec.cores,
            memory_mb: spec.memory_mb,
            slots: spec.slots,
            open: true,
            spec,
        }
    }

    /// Members of this shape that fit without the accelerators in `masked`.
    pub fn members(&self, shape: &Shape, masked: u64) -> u32 {
        if !self.open {
            return 0;
        }
        let mut count = u32::from(self.slots);
        if let Some(n) = (self.free & !masked)
            .count_ones()
            .checked_div(u32::from(shape.accelerators))
        {
            count = count.min(n);
        }
        if let Some(n) = self.cores.checked_div(shape.cores) {
            count = count.min(n);
        }
        if let Some(n) = self.memory_mb.checked_div(shape.memory_mb) {
            count = count.min(u32::try_from(n).unwrap_or(u32::MAX));
        }
        count
    }

    /// Name of the group within which members must lie.
    pub fn group(&self, adjacent: Adjacency) -> &str {
        match adjacent {
            Adjacency::Endpoint => self.spec.name.as_str(),
            Adjacency::Rack => self.spec.rack.as_str(),
            Adjacency::Domain => self.spec.domain.as_str(),
            Adjacency::Any => "",
        }
    }
}

/// Bit set of a seat's accelerators; `None` if one is named twice or cannot exist.
pub fn bits(seat: &Seat) -> Option<u64> {
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

/// All endpoints with what is left on them.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    rooms: BTreeMap<EndpointName, Room>,
}

impl Ledger {
    /// Adds an endpoint, or opens one that is back.
    pub fn add(&mut self, spec: EndpointSpec) {
        self.rooms
            .entry(spec.name.clone())
            .or_insert_with(|| Room::new(spec))
            .open = true;
    }

    /// Gives an endpoint nothing new.
    pub fn close(&mut self, endpoint: &EndpointName) {
        if let Some(room) = self.rooms.get_mut(endpoint) {
            room.open = false;
        }
    }

    /// The endpoints.
    pub fn rooms(&self) -> impl Iterator<Item = &Room> {
        self.rooms.values()
    }

    /// Takes the seats of a whole gang, or says why they must not be given.
    pub fn take(&mut self, shape: &Shape, seats: &[Seat]) -> Result<(), Violation> {
        if seats.len() != usize::from(shape.members) {
            return Err(Violation::PartialGang);
        }
        let before = self.rooms.clone();
        let mut group = None;
        for seat in seats {
            let taken = self.take_one(shape, seat).and_then(|()| {
                let here = self.rooms[&seat.endpoint].group(shape.adjacent).to_owned();
                if *group.get_or_insert_with(|| here.clone()) == here {
                    Ok(())
                } else {
                    Err(Violation::Misplaced)
                }
            });
            if taken.is_err() {
                self.rooms = before;
                return taken;
            }
        }
        Ok(())
    }

    fn take_one(&mut self, shape: &Shape, seat: &Seat) -> Result<(), Violation> {
        let room = self.rooms.get_mut(&seat.endpoint).ok_or(Violation::Misplaced)?;
        let mask = bits(seat).ok_or(Violation::HeldTwice)?;
        if mask.count_ones() != u32::from(shape.accelerators) {
            return Err(Violation::PartialGang);
        }
        if !room.open || mask >> room.spec.accelerators != 0 {
            return Err(Violation::Misplaced);
        }
        if room.free & mask != mask {
            return Err(Violation::HeldTwice);
        }
        if room.slots == 0 || room.cores < shape.cores || room.memory_mb < shape.memory_mb {
            return Err(Violation::Misplaced);
        }
        room.free &= !mask;
        room.slots -= 1;
        room.cores -= shape.cores;
        room.memory_mb -= shape.memory_mb;
        Ok(())
    }

    /// Gives seats back.
    pub fn give(&mut self, shape: &Shape, seats: &[Seat]) {
        for seat in seats {
            let Some(room) = self.rooms.get_mut(&seat.endpoint) else {
                continue;
            };
            room.free |= bits(seat).unwrap_or(0);
            room.slots += 1;
            room.cores += shape.cores;
            room.memory_mb += shape.memory_mb;
        }
    }

    /// Free accelerators on open endpoints.
    pub fn free(&self) -> u32 {
        self.rooms()
            .filter(|room| room.open)
            .map(|room| room.free.count_ones())
            .sum()
    }

    /// Free accelerators that gangs of this shape can use, as many of them as fit.
    pub fn usable(&self, shape: &Shape) -> u32 {
        let mut groups = BTreeMap::new();
        for room in self.rooms() {
            *groups.entry(room.group(shape.adjacent)).or_insert(0) += room.members(shape, 0);
        }
        let gangs: u32 = groups.values().map(|n| n / u32::from(shape.members)).sum();
        gangs * shape.total_accelerators()
    }
}
