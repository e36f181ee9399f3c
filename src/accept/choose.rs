//! Selection of a pool for a job.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::AcceptError;
use crate::job::{Adjacency, JobSpec, Shape};
use crate::membership::KnownEndpoint;
use crate::name::{EndpointName, JobId, PoolName};
use crate::platform::ListedEndpoint;
use crate::team::{Catalog, Guarantee, Pool, Team};

/// Whether an endpoint belongs to a pool.
pub fn pool_contains(pool: &Pool, endpoint: &ListedEndpoint) -> bool {
    pool.domains.contains(&endpoint.domain) && (pool.racks.is_empty() || pool.racks.contains(&endpoint.rack))
}

/// Number of gang members that fit an empty endpoint.
fn member_capacity(endpoint: &ListedEndpoint, shape: &Shape) -> u64 {
    let mut members = u64::from(endpoint.slots);
    for (available, required) in [
        (u64::from(endpoint.cores), u64::from(shape.cores)),
        (endpoint.memory_mb, shape.memory_mb),
        (u64::from(endpoint.accelerators), u64::from(shape.accelerators)),
    ] {
        if let Some(count) = available.checked_div(required) {
            members = members.min(count);
        }
    }
    members
}

/// Whether an empty pool can hold a gang; `None` if no endpoints of the pool are known. Endpoints that are leaving or
/// missing from the list count too, since they may be replaced.
pub fn can_hold(pool: &Pool, shape: &Shape, endpoints: &BTreeMap<EndpointName, KnownEndpoint>) -> Option<bool> {
    let mut capacities = BTreeMap::new();
    for endpoint in endpoints.values().map(|known| &known.listed) {
        if !pool_contains(pool, endpoint) {
            continue;
        }
        let group = match shape.adjacent {
            Adjacency::Endpoint => (Some(&endpoint.domain), Some(&endpoint.rack), Some(&endpoint.name)),
            Adjacency::Rack => (Some(&endpoint.domain), Some(&endpoint.rack), None),
            Adjacency::Domain => (Some(&endpoint.domain), None, None),
            Adjacency::Any => (None, None, None),
        };
        *capacities.entry(group).or_insert(0) += member_capacity(endpoint, shape);
    }
    let largest = capacities.into_values().max()?;
    Some(largest >= u64::from(shape.members))
}

/// Whether the accelerators of a shape fit a guarantee.
fn fits_guarantee(guarantee: &Guarantee, shape: &Shape) -> bool {
    let total = u64::from(guarantee.accelerators) * u64::from(guarantee.count);
    shape.accelerators > 0
        && shape.accelerators <= guarantee.accelerators
        && u64::from(shape.total_accelerators()) <= total
}

/// Rendezvous hash of a job and a pool.
fn rendezvous_hash(id: &JobId, pool: &PoolName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(id.as_str());
    hasher.update([0]);
    hasher.update(pool.as_str());
    hasher.finalize().into()
}

/// Pools known to be able to hold the job, else those without known endpoints.
fn candidates<'a>(
    catalog: &'a Catalog,
    spec: &JobSpec,
    endpoints: &BTreeMap<EndpointName, KnownEndpoint>,
) -> Result<Vec<&'a PoolName>, AcceptError> {
    let (mut fit, mut unknown) = (Vec::new(), Vec::new());
    for (name, pool) in &catalog.pools {
        if spec.pool.as_ref().is_some_and(|requested| requested != name) {
            continue;
        }
        match can_hold(pool, &spec.shape, endpoints) {
            Some(true) => fit.push(name),
            Some(false) => {}
            None => unknown.push(name),
        }
    }
    if !fit.is_empty() {
        return Ok(fit);
    }
    if !unknown.is_empty() {
        return Ok(unknown);
    }
    if let Some(requested) = &spec.pool
        && !catalog.pools.contains_key(requested)
    {
        let message = format!("There is no pool `{requested}`. Omit `pool` or name another.");
        return Err(AcceptError::NotAllowed(message));
    }
    if catalog.pools.is_empty() {
        let message = "There are no pools yet. Ask an operator to create one.".to_owned();
        return Err(AcceptError::NotAllowed(message));
    }
    Err(AcceptError::Impossible(
        "No endpoint, rack or domain of the allowed pools can hold this shape, even when empty. Request fewer members \
         or less per member, or relax `adjacent`."
            .to_owned(),
    ))
}

/// Selects a pool: the one that the job names, else one in which the team has a fitting guarantee. Of several,
/// it is the one with the fewest waiting jobs among those whose count is known, else one by rendezvous hashing.
pub fn choose_pool(
    catalog: &Catalog,
    team: &Team,
    id: &JobId,
    spec: &JobSpec,
    endpoints: &BTreeMap<EndpointName, KnownEndpoint>,
    waiting: &BTreeMap<PoolName, usize>,
) -> Result<PoolName, AcceptError> {
    let fit = candidates(catalog, spec, endpoints)?;
    let mut guaranteed = Vec::new();
    for guarantee in &team.guarantees {
        if fits_guarantee(guarantee, &spec.shape) && fit.contains(&&guarantee.pool) {
            guaranteed.push(&guarantee.pool);
        }
    }
    let pools = if guaranteed.is_empty() { fit } else { guaranteed };
    let known = pools.iter().filter(|pool| waiting.contains_key(**pool));
    let least_loaded = known.min_by_key(|pool| (waiting[**pool], rendezvous_hash(id, pool)));
    let chosen = least_loaded.or_else(|| pools.iter().max_by_key(|pool| rendezvous_hash(id, pool)));
    match chosen {
        Some(pool) => Ok((*pool).clone()),
        None => Err(AcceptError::NotAllowed("There are no pools yet.".to_owned())),
    }
}
