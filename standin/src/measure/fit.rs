//! Finds seats for a gang, for the baselines.

use std::collections::BTreeMap;

use yuccaridge::job::{Seat, Shape};
use yuccaridge::name::EndpointName;

use super::fleet_capacity::{EndpointCapacity, FleetCapacity};

/// Bit set of accelerators for each endpoint.
pub type AcceleratorMasks = BTreeMap<EndpointName, u64>;

/// Order in which endpoints are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOrder {
    /// By name.
    ByName,
    /// Fewest free accelerators first.
    FewestFree,
}

/// Finds seats for a whole gang without the accelerators in `mask`; `None` if it does not fit now.
pub fn find_seats(
    capacity: &FleetCapacity,
    shape: &Shape,
    order: EndpointOrder,
    mask: &AcceleratorMasks,
) -> Option<Vec<Seat>> {
    let mut groups: BTreeMap<&str, Vec<(&EndpointCapacity, u32)>> = BTreeMap::new();
    for endpoint in capacity.endpoints() {
        let masked = mask.get(&endpoint.spec.name).copied().unwrap_or(0);
        let members = endpoint.members_that_fit(shape, masked);
        if members > 0 {
            groups
                .entry(endpoint.adjacency_group(shape.adjacent))
                .or_default()
                .push((endpoint, members));
        }
    }
    let needed = u32::from(shape.members);
    let mut groups: Vec<Vec<(&EndpointCapacity, u32)>> = groups.into_values().collect();
    groups.retain(|group| group.iter().map(|(_, n)| n).sum::<u32>() >= needed);
    if order == EndpointOrder::FewestFree {
        for group in &mut groups {
            group.sort_by_key(|(endpoint, _)| endpoint.free_accelerators.count_ones());
        }
        groups.sort_by_key(|group| {
            group
                .iter()
                .map(|(endpoint, _)| endpoint.free_accelerators.count_ones())
                .sum::<u32>()
        });
    }
    groups.first().map(|group| assign_seats(group, shape, mask))
}

fn assign_seats(group: &[(&EndpointCapacity, u32)], shape: &Shape, mask: &AcceleratorMasks) -> Vec<Seat> {
    let mut seats = Vec::new();
    for (endpoint, members) in group {
        let mut free = endpoint.free_accelerators & !mask.get(&endpoint.spec.name).copied().unwrap_or(0);
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
                endpoint: endpoint.spec.name.clone(),
                accelerators,
            });
        }
    }
    seats
}
