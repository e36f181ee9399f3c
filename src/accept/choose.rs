//! Choice of a pool for a job.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::AcceptError;
use crate::job::{Adjacency, JobSpec, Shape};
use crate::member::KnownWorker;
use crate::name::{JobId, PoolName, WorkerName};
use crate::platform::ListedWorker;
use crate::team::{Catalog, Guarantee, Pool, Team};

/// Whether a worker belongs to a pool.
pub fn pool_holds(pool: &Pool, worker: &ListedWorker) -> bool {
    pool.domains.contains(&worker.domain) && (pool.racks.is_empty() || pool.racks.contains(&worker.rack))
}

/// Members of a gang that an empty worker can hold.
fn members_on(worker: &ListedWorker, shape: &Shape) -> u64 {
    let mut members = u64::from(worker.slots);
    for (have, need) in [
        (u64::from(worker.cores), u64::from(shape.cores)),
        (worker.memory_mb, shape.memory_mb),
        (u64::from(worker.accelerators), u64::from(shape.accelerators)),
    ] {
        if let Some(count) = have.checked_div(need) {
            members = members.min(count);
        }
    }
    members
}

/// Whether an empty pool can hold a gang; `None` if no workers of the pool are known. Workers that leave or are missing
/// from the list count, since they may be replaced.
pub fn can_hold(pool: &Pool, shape: &Shape, workers: &BTreeMap<WorkerName, KnownWorker>) -> Option<bool> {
    let mut places = BTreeMap::new();
    for worker in workers.values().map(|known| &known.listed) {
        if !pool_holds(pool, worker) {
            continue;
        }
        let place = match shape.adjacent {
            Adjacency::Worker => (Some(&worker.domain), Some(&worker.rack), Some(&worker.name)),
            Adjacency::Rack => (Some(&worker.domain), Some(&worker.rack), None),
            Adjacency::Domain => (Some(&worker.domain), None, None),
            Adjacency::Any => (None, None, None),
        };
        *places.entry(place).or_insert(0) += members_on(worker, shape);
    }
    let most = places.into_values().max()?;
    Some(most >= u64::from(shape.members))
}

/// Whether a job may claim a guarantee, as far as sizes tell.
fn matches(guarantee: &Guarantee, shape: &Shape) -> bool {
    let total = u64::from(guarantee.accelerators) * u64::from(guarantee.count);
    shape.accelerators > 0
        && shape.accelerators <= guarantee.accelerators
        && u64::from(shape.total_accelerators()) <= total
}

/// Rank of a pool for a job by rendezvous hashing.
fn hash(id: &JobId, pool: &PoolName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(id.as_str());
    hasher.update([0]);
    hasher.update(pool.as_str());
    hasher.finalize().into()
}

/// Pools that can hold the job, as far as is known.
fn candidates<'a>(
    catalog: &'a Catalog,
    spec: &JobSpec,
    workers: &BTreeMap<WorkerName, KnownWorker>,
) -> Result<Vec<&'a PoolName>, AcceptError> {
    let (mut fit, mut unknown) = (Vec::new(), Vec::new());
    for (name, pool) in &catalog.pools {
        if spec.pool.as_ref().is_some_and(|wanted| wanted != name) {
            continue;
        }
        match can_hold(pool, &spec.shape, workers) {
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
    if let Some(wanted) = &spec.pool
        && !catalog.pools.contains_key(wanted)
    {
        let sentence = format!("There is no pool `{wanted}`. Leave the pool out or name another.");
        return Err(AcceptError::NotAllowed(sentence));
    }
    if catalog.pools.is_empty() {
        let sentence = "There are no pools yet. Ask an operator to create one.".to_owned();
        return Err(AcceptError::NotAllowed(sentence));
    }
    Err(AcceptError::Impossible(
        "No worker, rack or domain of the allowed pools can hold this shape, even when empty. Ask for fewer members or \
         for less per member, or relax `adjacent`."
            .to_owned(),
    ))
}

/// The job's own pool, else a pool in which the team has a matching guarantee, else the one with the fewest waiting
/// jobs among those known, else one by hashing.
pub fn choose_pool(
    catalog: &Catalog,
    team: &Team,
    id: &JobId,
    spec: &JobSpec,
    workers: &BTreeMap<WorkerName, KnownWorker>,
    waiting: &BTreeMap<PoolName, usize>,
) -> Result<PoolName, AcceptError> {
    let fit = candidates(catalog, spec, workers)?;
    let mut guaranteed = Vec::new();
    for guarantee in &team.guarantees {
        if matches(guarantee, &spec.shape) && fit.contains(&&guarantee.pool) {
            guaranteed.push(&guarantee.pool);
        }
    }
    let pools = if guaranteed.is_empty() { fit } else { guaranteed };
    let known = pools.iter().filter(|pool| waiting.contains_key(**pool));
    let least = known.min_by_key(|pool| (waiting[**pool], hash(id, pool)));
    let chosen = least.or_else(|| pools.iter().max_by_key(|pool| hash(id, pool)));
    match chosen {
        Some(pool) => Ok((*pool).clone()),
        None => Err(AcceptError::NotAllowed("There are no pools yet.".to_owned())),
    }
}
