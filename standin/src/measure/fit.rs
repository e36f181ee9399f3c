//! Where a gang fits, as the baselines see it.

use std::collections::BTreeMap;

use yuccaridge::job::{Seat, Shape};
use yuccaridge::name::EndpointName;

use super::fleet_capacity::{Ledger, Room};

/// Accelerators that must not be used, as a bit set for each endpoint.
pub type Mask = BTreeMap<EndpointName, u64>;

/// Order in which endpoints are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By name.
    First,
    /// By the count of free accelerators, fewest first.
    Best,
}

/// Seats for a whole gang, if it fits now.
pub fn fit(ledger: &Ledger, shape: &Shape, order: Order, mask: &Mask) -> Option<Vec<Seat>> {
    let mut groups: BTreeMap<&str, Vec<(&Room, u32)>> = BTreeMap::new();
    for room in ledger.rooms() {
        let masked = mask.get(&room.spec.name).copied().unwrap_or(0);
        let members = room.members(shape, masked);
        if members > 0 {
            groups
                .entry(room.group(shape.adjacent))
                .or_default()
                .push((room, members));
        }
    }
    let needed = u32::from(shape.members);
    let mut groups: Vec<Vec<(&Room, u32)>> = groups.into_values().collect();
    groups.retain(|group| group.iter().map(|(_, n)| n).sum::<u32>() >= needed);
    if order == Order::Best {
        for group in &mut groups {
            group.sort_by_key(|(room, _)| room.free.count_ones());
        }
        groups.sort_by_key(|group| group.iter().map(|(room, _)| room.free.count_ones()).sum::<u32>());
    }
    groups.first().map(|group| seats(group, shape, mask))
}

fn seats(group: &[(&Room, u32)], shape: &Shape, mask: &Mask) -> Vec<Seat> {
    let mut seats = Vec::new();
    for (room, members) in group {
        let mut free = room.free & !mask.get(&room.spec.name).copied().unwrap_or(0);
        for _ in 0..*members {
            if seats.len() == usize::from(shape.members) {
                return seats;
            }
            let mut accelerators = Vec::new();
            for _ in 0..shape.accelerators {
                accelerators.push(free.trailing_zeros() as u16);
                free &= free - 1;
            }
            seats.push(Seat {
                endpoint: room.spec.name.clone(),
                accelerators,
            });
        }
    }
    seats
}
