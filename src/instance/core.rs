//! The controllers of one instance and the data flow between them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use super::{FleetFit, Hint, OutageDetector, PoolRequest, Pools, Waiters};
use crate::accept::BatchJobController;
use crate::call::CallController;
use crate::membership::Membership;
use crate::name::{DomainName, EndpointName, InstanceName};
use crate::plan::Weights;
use crate::planner::Answer;
use crate::platform::{Address, EndpointError, Endpoints, Listing, Objects, Table};
use crate::route::Router;
use crate::row::OpIds;
use crate::session::Session;
use crate::ticket::TicketController;
use crate::time::Millis;

/// Time after the end of the session lease in which planners still renew task leases without asking the peers.
const RENEWAL_GRACE: Millis = Millis::from_secs(10);
/// Interval of recovering calls that other instances left open.
const RECOVER_EVERY: Millis = Millis::from_secs(2);
/// Interval of updating the router's view of the endpoints.
const ROUTER_UPDATE_EVERY: Millis = Millis(500);
/// Limit on the hints queued for sending; further ones are dropped.
const OUTGOING_HINTS_MAX: usize = 4096;

/// Identity, settings and platform clients of an instance.
#[derive(Debug)]
pub struct CoreOptions {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Boot identifier; differs between two starts.
    pub boot: String,
    /// Address on which it accepts peer connections.
    pub peer: Address,
    /// Its failure domain.
    pub domain: DomainName,
    /// Weights of the placement policy.
    pub weights: Weights,
    /// Seed of the router's random choices.
    pub seed: u64,
    /// The table.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// The list of endpoints and instances.
    pub listing: Arc<dyn Listing>,
    /// The endpoints.
    pub endpoints: Arc<dyn Endpoints>,
}

/// Times at which periodic tasks are due next.
#[derive(Debug, Default)]
struct NextRuns {
    recovery: Millis,
    router_update: Millis,
}

/// One instance without threads, sockets or a clock.
pub struct Core {
    /// The session.
    pub session: Arc<Session>,
    /// Known instances and endpoints.
    pub membership: Arc<Membership>,
    /// Change tickets.
    pub tickets: TicketController,
    /// Batch jobs.
    pub accept: BatchJobController,
    /// Calls.
    pub calls: CallController,
    /// Planners of the pools held here.
    pub pools: Pools,
    /// Detection of outages that all instances share.
    pub outage: OutageDetector,
    /// Long polls that wait for the end of a job.
    pub waiters: Waiters,
    /// Client of the endpoints, for the caller that sends the planners' requests.
    pub endpoints: Arc<dyn Endpoints>,
    /// Calls in flight by endpoint, reported to other instances.
    loads: Mutex<BTreeMap<EndpointName, u32>>,
    next_runs: Mutex<NextRuns>,
    ops: Arc<OpIds>,
    hint_sender: flume::Sender<Hint>,
    outgoing_hints: flume::Receiver<Hint>,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("instance", self.session.instance())
            .finish_non_exhaustive()
    }
}

impl Core {
    /// Creates the controllers; reads and writes nothing.
    pub fn new(options: CoreOptions) -> Self {
        let ops = Arc::new(OpIds::new(&options.instance, &options.boot));
        let (table, objects) = (options.table, options.objects);
        let session = Session::new(
            options.instance,
            options.boot,
            options.peer,
            options.domain,
            Arc::clone(&table),
            Arc::clone(&ops),
        );
        let session = Arc::new(session);
        let membership = Arc::new(Membership::new(Arc::clone(&table), options.listing));
        let fit = Arc::new(FleetFit(Arc::clone(&membership)));
        let (hint_sender, outgoing_hints) = flume::bounded(OUTGOING_HINTS_MAX);
        let router = Arc::new(Mutex::new(Router::new(options.seed)));
        Self {
            tickets: TicketController::new(
                Arc::clone(&session),
                Arc::clone(&membership),
                Arc::clone(&table),
                Arc::clone(&ops),
                fit,
            ),
            accept: BatchJobController::new(
                Arc::clone(&session),
                Arc::clone(&membership),
                Arc::clone(&table),
                Arc::clone(&objects),
                Arc::clone(&ops),
            ),
            calls: CallController::new(
                Arc::clone(&session),
                Arc::clone(&membership),
                router,
                Arc::clone(&table),
                Arc::clone(&objects),
                Arc::clone(&options.endpoints),
                Arc::clone(&ops),
            ),
            pools: Pools::new(
                Arc::clone(&session),
                Arc::clone(&membership),
                table,
                objects,
                Arc::clone(&ops),
                options.weights,
            ),
            outage: OutageDetector::default(),
            waiters: Waiters::default(),
            endpoints: options.endpoints,
            session,
            membership,
            loads: Mutex::default(),
            next_runs: Mutex::default(),
            ops,
            hint_sender,
            outgoing_hints,
        }
    }

    /// Queue of hints to send to other instances.
    pub fn outgoing_hints(&self) -> &flume::Receiver<Hint> {
        &self.outgoing_hints
    }

    /// Queues a hint for sending; drops it if the queue is full.
    pub fn queue_hint(&self, hint: Hint) {
        if self.hint_sender.try_send(hint).is_err() {
            log::debug!("hint dropped: the queue of outgoing hints is full");
        }
    }

    /// Handles a hint from another instance; returns whether the session should be refreshed at once.
    pub fn handle_hint(&self, now: Millis, from: &InstanceName, hint: Hint) -> bool {
        match hint {
            Hint::Wake { pool, job } => self.pools.reload_job(pool, job),
            Hint::Ended(job) => self.waiters.wake(&job),
            Hint::Load(loads) => self.calls.record_loads(now, &loads),
            Hint::Head { ticket, live } => {
                self.outage.record(now, from.clone(), ticket, live);
                return ticket > self.session.cached_catalog().number;
            }
        }
        false
    }

    /// Renews the session if that is due.
    pub fn heartbeat(&self, now: Millis) {
        if let Err(error) = self.session.step(now) {
            log::warn!("session renewal failed: {error}");
        }
    }

    /// Reads the list and the other instances' sessions if that is due.
    pub fn refresh_members(&self, now: Millis) {
        if let Err(error) = self.membership.step(now) {
            log::warn!("reading the list and the sessions failed: {error}");
        }
        if self.is_due(now, ROUTER_UPDATE_EVERY, |next_runs| &mut next_runs.router_update) {
            let quarantined: BTreeSet<_> = self.pools.quarantined().into_keys().collect();
            self.calls.update_router(now, &quarantined);
        }
    }

    /// Whether a periodic task is due; if so, its next run is set.
    fn is_due<F>(&self, now: Millis, every: Millis, f: F) -> bool
    where
        F: FnOnce(&mut NextRuns) -> &mut Millis,
    {
        let mut next_runs = self.next_runs.lock().unwrap_or_else(PoisonError::into_inner);
        let at = f(&mut next_runs);
        if now < *at {
            return false;
        }
        *at = now + every;
        true
    }

    /// Recovers tickets, calls and sessions that other instances abandoned.
    pub fn recover_abandoned(&self, now: Millis) {
        if let Err(error) = self.tickets.step(now) {
            log::warn!("recovery of pending tickets failed: {error}");
        }
        if !self.is_due(now, RECOVER_EVERY, |next_runs| &mut next_runs.recovery) {
            return;
        }
        if let Err(error) = self.calls.recover(now) {
            log::warn!("recovery of open calls failed: {error}");
        }
        if let Err(error) = self.membership.sweep(now, self.session.instance(), &self.ops) {
            log::warn!("removal of lapsed sessions failed: {error}");
        }
    }

    /// Whether all instances share the outage, so that cached state is still valid although the session has lapsed.
    pub fn outage_is_shared(&self, now: Millis) -> bool {
        let number = self.session.cached_catalog().number;
        self.outage
            .is_shared(now, self.session.instance(), number, &self.membership.last_known())
    }

    /// Whether an idempotent call may use the last known configuration.
    pub fn may_use_cache(&self, now: Millis) -> bool {
        let Some(end) = self.session.lease_end() else {
            return false;
        };
        now < end || (OutageDetector::allows_cache(now, end) && self.outage_is_shared(now))
    }

    /// Steps the planners; returns their requests to endpoints.
    pub fn step_planners(&self, now: Millis) -> Vec<PoolRequest> {
        let in_grace = self.session.lease_end().is_some_and(|end| now < end + RENEWAL_GRACE);
        let renew = in_grace || self.outage_is_shared(now);
        let output = self.pools.step(now, renew);
        for job in output.ended {
            self.waiters.wake(&job);
            self.queue_hint(Hint::Ended(job));
        }
        for (pool, jobs) in self.pools.waiting() {
            self.accept.record_waiting_jobs(now, pool, jobs);
        }
        output.requests
    }

    /// Handles an endpoint's answer to a planner's request.
    pub fn handle_answer(&self, now: Millis, pool_request: &PoolRequest, result: Result<Answer, EndpointError>) {
        if let Ok(Answer::Report(report)) = &result {
            self.calls.record_report(now, report);
            let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
            loads.insert(report.endpoint.clone(), u32::from(report.calls));
        }
        self.pools.handle_answer(now, pool_request, result);
    }

    /// Queues the hints that are sent periodically.
    pub fn queue_periodic_hints(&self, now: Millis) {
        self.queue_hint(Hint::Head {
            ticket: self.session.cached_catalog().number,
            live: self.session.is_live(now),
        });
        let loads = std::mem::take(&mut *self.loads.lock().unwrap_or_else(PoisonError::into_inner));
        if !loads.is_empty() {
            self.queue_hint(Hint::Load(loads));
        }
    }

    /// Runs everything that is due, in one thread. The daemon uses a thread for each part instead.
    pub fn step(&self, now: Millis) {
        self.heartbeat(now);
        self.refresh_members(now);
        self.recover_abandoned(now);
        for pool_request in self.step_planners(now) {
            let result = pool_request.request.send(self.endpoints.as_ref());
            self.handle_answer(now, &pool_request, result);
        }
    }
}
