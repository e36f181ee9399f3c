//! The pools that this instance plans.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::membership::Membership;
use crate::name::{EndpointName, InstanceName, JobId, PoolName, TeamName};
use crate::plan::{Policy, Scheduler, Weights};
use crate::planner::{Answer, Claim, Planner, PlannerError, Request, StepInput};
use crate::platform::{Check, EndpointError, ListedEndpoint, Objects, Presence, Table, TableError, Version};
use crate::row::{OpIds, PoolRow, key};
use crate::session::Session;
use crate::team::Catalog;
use crate::time::Millis;

/// Interval of checking the holders of the pools.
const CLAIM_EVERY: Millis = Millis(300);
/// Time for which another instance must be the preferred owner before a pool is handed over to it.
const HANDOVER_AFTER: Millis = Millis::from_secs(10);

/// A request to an endpoint by one pool's planner.
#[derive(Debug)]
pub struct PoolRequest {
    /// The pool.
    pub pool: PoolName,
    /// Epoch of that planner.
    pub epoch: u64,
    /// The request.
    pub request: Request,
}

/// Result of one step of all planners.
#[derive(Debug, Default)]
pub struct PoolsOutput {
    /// Requests to send to endpoints.
    pub requests: Vec<PoolRequest>,
    /// Jobs that ended.
    pub ended: Vec<JobId>,
}

#[derive(Debug)]
struct HeldPool {
    planner: Planner,
    /// Since when another instance has been the preferred owner.
    other_owner_since: Option<Millis>,
}

type HeldPools = BTreeMap<PoolName, HeldPool>;

/// State that other threads may access while the planners are stepped.
#[derive(Debug, Default)]
struct SharedState {
    holders: BTreeMap<PoolName, InstanceName>,
    jobs_to_reload: Vec<(PoolName, JobId)>,
    waiting: BTreeMap<PoolName, usize>,
    quarantined: BTreeMap<EndpointName, String>,
    at_risk: BTreeMap<TeamName, String>,
    next_claim: Millis,
}

/// Planners of the pools that this instance holds.
pub struct Pools {
    session: Arc<Session>,
    membership: Arc<Membership>,
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    ops: Arc<OpIds>,
    weights: Weights,
    /// Locked during requests to the table, so only the stepping thread may lock it.
    planners: Mutex<HeldPools>,
    state: Mutex<SharedState>,
}

impl fmt::Debug for Pools {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pools")
            .field("instance", self.session.instance())
            .finish_non_exhaustive()
    }
}

impl Pools {
    /// Planners of an instance that holds no pool yet.
    pub fn new(
        session: Arc<Session>,
        membership: Arc<Membership>,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        ops: Arc<OpIds>,
        weights: Weights,
    ) -> Self {
        Self {
            session,
            membership,
            table,
            objects,
            ops,
            weights,
            planners: Mutex::default(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn held_pools(&self) -> MutexGuard<'_, HeldPools> {
        self.planners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims the pools that this instance should hold, hands over those that it should not, and steps its planners.
    /// `renew_leases` says whether task leases may be renewed. Only one thread calls this and [`Pools::handle_answer`].
    pub fn step(&self, now: Millis, renew_leases: bool) -> PoolsOutput {
        let session_live = self.session.is_live(now);
        let catalog = self.session.cached_catalog();
        let mut held_pools = self.held_pools();
        if session_live && now >= self.state().next_claim {
            self.state().next_claim = now + CLAIM_EVERY;
            self.hand_over_pools(now, &mut held_pools);
            if let Err(error) = self.claim_pools(now, &catalog, &mut held_pools) {
                log::warn!("reading the pool rows failed: {error}");
            }
        }
        for (pool, job) in std::mem::take(&mut self.state().jobs_to_reload) {
            if let Some(held) = held_pools.get_mut(&pool) {
                held.planner.reload_job(job);
            }
        }
        let endpoints = self.known_endpoints();
        let input = StepInput {
            session_live,
            renew_leases,
            catalog: &catalog,
            endpoints: &endpoints,
        };
        let mut output = PoolsOutput::default();
        held_pools.retain(|pool, held| match held.planner.step(now, input) {
            Ok(step) => {
                let epoch = held.planner.epoch();
                let requests = step.requests.into_iter();
                output.requests.extend(requests.map(|request| PoolRequest {
                    pool: pool.clone(),
                    epoch,
                    request,
                }));
                output.ended.extend(step.ended);
                true
            }
            Err(error) => {
                log::warn!("pool {pool}: planner stopped: {error}");
                false
            }
        });
        self.publish_state(&held_pools);
        output
    }

    fn publish_state(&self, held_pools: &HeldPools) {
        let mut state = self.state();
        state.waiting = held_pools
            .iter()
            .map(|(pool, held)| (pool.clone(), held.planner.waiting()))
            .collect();
        state.at_risk = held_pools.values().flat_map(|held| held.planner.at_risk()).collect();
        state.quarantined = held_pools
            .values()
            .flat_map(|held| held.planner.quarantined())
            .collect();
    }

    /// Known endpoints; one that is missing from the list counts as leaving.
    fn known_endpoints(&self) -> BTreeMap<EndpointName, ListedEndpoint> {
        let known = self.membership.endpoints();
        let endpoints = known.iter().map(|(name, endpoint)| {
            let mut listed = endpoint.listed.clone();
            if !endpoint.is_open() {
                listed.presence = Presence::Leaving;
            }
            (name.clone(), listed)
        });
        endpoints.collect()
    }

    fn claim_pools(&self, now: Millis, catalog: &Catalog, held_pools: &mut HeldPools) -> Result<(), TableError> {
        let me = self.session.instance();
        let missing: Vec<_> = catalog
            .pools
            .keys()
            .filter(|pool| !held_pools.contains_key(*pool))
            .collect();
        if missing.is_empty() {
            return Ok(());
        }
        let keys: Vec<_> = missing.iter().map(|pool| key::pool(pool)).collect();
        for (pool, row) in missing.into_iter().zip(self.table.read(&keys)?) {
            let found: Option<(PoolRow, Version)> =
                row.and_then(|row| Some((serde_json::from_value(row.value).ok()?, row.version)));
            if let Some((row, _)) = &found {
                self.state().holders.insert(pool.clone(), row.holder.clone());
            }
            if self.session.is_draining() || self.membership.owner(now, pool).as_ref() != Some(me) {
                continue;
            }
            let mut checks = Vec::new();
            if let Some((row, _)) = &found {
                let mine = row.holder == *me && row.boot == self.session.boot();
                if !mine && !row.is_vacant() {
                    let Some(check) = self.membership.takeover_check(now, row) else {
                        continue;
                    };
                    checks.push(check);
                }
            }
            self.claim_pool(now, pool, found.map_or(0, |(_, version)| version), checks, held_pools);
        }
        Ok(())
    }

    fn claim_pool(
        &self,
        now: Millis,
        pool: &PoolName,
        version: Version,
        checks: Vec<Check>,
        held_pools: &mut HeldPools,
    ) {
        let claim = Claim {
            pool: pool.clone(),
            instance: self.session.instance().clone(),
            boot: self.session.boot().to_owned(),
            version,
            checks,
            table: Arc::clone(&self.table),
            objects: Arc::clone(&self.objects),
            ops: Arc::clone(&self.ops),
        };
        let policy: Box<dyn Policy> = Box::new(Scheduler::new(pool.clone(), self.weights));
        match Planner::claim(claim, policy, now) {
            Ok(planner) => {
                log::info!("pool {pool}: claimed with epoch {}", planner.epoch());
                self.state()
                    .holders
                    .insert(pool.clone(), self.session.instance().clone());
                held_pools.insert(
                    pool.clone(),
                    HeldPool {
                        planner,
                        other_owner_since: None,
                    },
                );
            }
            Err(PlannerError::Fenced) => log::debug!("pool {pool}: not claimed: another instance claimed it first"),
            Err(error) => log::warn!("pool {pool}: claim failed: {error}"),
        }
    }

    /// Hands over pools for which another instance is the preferred owner, or all pools during a drain.
    fn hand_over_pools(&self, now: Millis, held_pools: &mut HeldPools) {
        let draining = self.session.is_draining();
        held_pools.retain(|pool, held| {
            let mine = !draining && self.membership.owner(now, pool).as_ref() == Some(self.session.instance());
            if mine {
                held.other_owner_since = None;
                return true;
            }
            let since = *held.other_owner_since.get_or_insert(now);
            if !draining && now.since(since) < HANDOVER_AFTER {
                return true;
            }
            match held.planner.release() {
                Ok(()) | Err(PlannerError::Fenced) => {
                    log::info!("pool {pool}: handed over");
                    false
                }
                Err(error) => {
                    log::warn!("pool {pool}: handover failed and will be retried: {error}");
                    true
                }
            }
        });
    }

    /// Handles an endpoint's answer to a planner's request.
    pub fn handle_answer(&self, now: Millis, pool_request: &PoolRequest, result: Result<Answer, EndpointError>) {
        if let Some(held) = self.held_pools().get_mut(&pool_request.pool)
            && held.planner.epoch() == pool_request.epoch
        {
            held.planner.handle_answer(now, &pool_request.request, result);
        }
    }

    /// Lets the planner of a pool, if the pool is held here, reload a new or cancelled job.
    pub fn reload_job(&self, pool: PoolName, job: JobId) {
        let mut state = self.state();
        if state.waiting.contains_key(&pool) {
            state.jobs_to_reload.push((pool, job));
        }
    }

    /// Number of pools held here.
    pub fn count(&self) -> usize {
        self.state().waiting.len()
    }

    /// Last known holder of each pool.
    pub fn holders(&self) -> BTreeMap<PoolName, InstanceName> {
        self.state().holders.clone()
    }

    /// Number of queued jobs, by pool held here.
    pub fn waiting(&self) -> BTreeMap<PoolName, usize> {
        self.state().waiting.clone()
    }

    /// Teams whose guarantee the pools held here cannot meet in full, with what is missing.
    pub fn at_risk(&self) -> BTreeMap<TeamName, String> {
        self.state().at_risk.clone()
    }

    /// Quarantined endpoints of the pools held here, with the reason.
    pub fn quarantined(&self) -> BTreeMap<EndpointName, String> {
        self.state().quarantined.clone()
    }
}
