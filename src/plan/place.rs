//! Assigns seats from the offers of endpoints, grouped by adjacency.

use std::collections::BTreeMap;

use super::fleet::Fleet;
use super::{EndpointSpec, mask};
use crate::job::{Adjacency, Seat, Shape};
use crate::name::EndpointName;
use crate::time::Millis;

/// Resources that an endpoint can give to a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Offer {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of members that fit.
    pub members: u64,
    /// Accelerators that may be used.
    pub free: u64,
    /// Cost of using the endpoint for a member; lower is better.
    pub cost: f64,
}

/// Index of the group that an endpoint belongs to: endpoints of the same group satisfy the adjacency.
pub(super) fn adjacency_group(fleet: &Fleet, adjacent: Adjacency, endpoint: usize) -> usize {
    match adjacent {
        Adjacency::Endpoint => endpoint,
        Adjacency::Rack => fleet.endpoint(endpoint).rack,
        Adjacency::Domain => fleet.endpoint(endpoint).domain,
        Adjacency::Any => 0,
    }
}

/// Cheapest offers of a single group that together hold the whole gang.
pub(super) fn choose_offers(fleet: &Fleet, shape: &Shape, offers: Vec<Offer>) -> Option<Vec<Offer>> {
    let need = u64::from(shape.members);
    if need == 1 {
        let best = offers.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
        return best.map(|offer| vec![offer]);
    }
    let mut groups = BTreeMap::<usize, Vec<Offer>>::new();
    for offer in offers {
        let group = adjacency_group(fleet, shape.adjacent, offer.endpoint);
        groups.entry(group).or_default().push(offer);
    }
    let mut best: Option<(f64, Vec<Offer>)> = None;
    for (_, mut offers) in groups {
        if offers.iter().map(|offer| offer.members).sum::<u64>() < need {
            continue;
        }
        offers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut cost = 0.0;
        let mut taken = Vec::new();
        let mut left = need;
        for mut offer in offers {
            if left == 0 {
                break;
            }
            offer.members = offer.members.min(left);
            left -= offer.members;
            cost += offer.cost * offer.members as f64;
            taken.push(offer);
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, taken));
        }
    }
    best.map(|(_, taken)| taken)
}

/// Assigns accelerators of the chosen offers to the members.
pub(super) fn assign_seats(fleet: &Fleet, shape: &Shape, offers: &[Offer]) -> Option<Vec<Seat>> {
    let mut seats = Vec::with_capacity(usize::from(shape.members));
    for offer in offers {
        let mut free = offer.free;
        for _ in 0..offer.members {
            let mask = mask::pick(free, u32::from(shape.accelerators))?;
            free &= !mask;
            seats.push(Seat {
                endpoint: fleet.endpoint(offer.endpoint).spec.name.clone(),
                accelerators: mask::indices(mask),
            });
        }
    }
    Some(seats)
}

/// A lost endpoint still counts as part of the pool for this time when deciding whether a shape is possible.
const LOST_GRACE: Millis = Millis::from_secs(3600);

/// Whether the endpoints, including recently lost ones, could hold the gang if nothing else ran.
pub(super) fn is_possible(fleet: &Fleet, shape: &Shape, now: Millis) -> bool {
    let mut groups = BTreeMap::<usize, u64>::new();
    for (index, endpoint) in fleet.endpoints().iter().enumerate() {
        if !endpoint.up && now.since(endpoint.lost_at) > LOST_GRACE {
            continue;
        }
        let total = groups.entry(adjacency_group(fleet, shape.adjacent, index)).or_default();
        *total += endpoint.members_when_empty(shape);
        if *total >= u64::from(shape.members) {
            return true;
        }
    }
    false
}

/// Whether the endpoints could hold a gang if nothing else ran.
pub fn can_hold(endpoints: &BTreeMap<EndpointName, EndpointSpec>, shape: &Shape) -> bool {
    let mut fleet = Fleet::default();
    for spec in endpoints.values() {
        fleet.upsert(spec.clone());
    }
    is_possible(&fleet, shape, Millis::ZERO)
}
