//! The controllers of one instance and how they feed each other.

use std::fmt;
use std::sync::Arc;

use super::{FleetFit, Hint, Outage, PoolRequest, Pools, Waiters};
use crate::accept::Accept;
use crate::member::Member;
use crate::name::{DomainName, InstanceName};
use crate::plan::Weights;
use crate::platform::{Address, Listing, Objects, Table, Workers};
use crate::row::OpIds;
use crate::session::Session;
use crate::ticket::Tickets;
use crate::time::Millis;

/// Time after the end of a session in which its planners still renew task leases without asking the peers.
const RENEW_AFTER_LAPSE: Millis = Millis::from_secs(10);
/// Hints that may wait to be sent; more are dropped.
const HINTS_MAX: usize = 4096;

/// What an instance is made from.
#[derive(Debug)]
pub struct Parts {
    /// Its name.
    pub instance: InstanceName,
    /// Differs between two starts.
    pub boot: String,
    /// Where it takes peer connections.
    pub peer: Address,
    /// Its failure domain.
    pub domain: DomainName,
    /// What counts in placement.
    pub weights: Weights,
    /// The table.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// The list.
    pub listing: Arc<dyn Listing>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
}

/// One instance without threads, sockets or a clock.
pub struct Core {
    /// The session.
    pub session: Arc<Session>,
    /// What is known of others.
    pub member: Arc<Member>,
    /// Tickets.
    pub tickets: Tickets,
    /// Batch jobs.
    pub accept: Accept,
    /// Planners.
    pub pools: Pools,
    /// What peers say of the table.
    pub outage: Outage,
    /// Long polls.
    pub waiters: Waiters,
    /// Workers, for requests that are carried out elsewhere.
    pub workers: Arc<dyn Workers>,
    hints: flume::Sender<Hint>,
    outbox: flume::Receiver<Hint>,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("instance", self.session.instance())
            .finish_non_exhaustive()
    }
}

impl Core {
    /// Wires the controllers; nothing is read or written yet.
    pub fn new(parts: Parts) -> Self {
        let ops = Arc::new(OpIds::new(&parts.instance, &parts.boot));
        let (table, objects) = (parts.table, parts.objects);
        let session = Session::new(
            parts.instance,
            parts.boot,
            parts.peer,
            parts.domain,
            Arc::clone(&table),
            Arc::clone(&ops),
        );
        let session = Arc::new(session);
        let member = Arc::new(Member::new(Arc::clone(&table), parts.listing));
        let fit = Arc::new(FleetFit(Arc::clone(&member)));
        let (hints, outbox) = flume::bounded(HINTS_MAX);
        Self {
            tickets: Tickets::new(
                Arc::clone(&session),
                Arc::clone(&member),
                Arc::clone(&table),
                Arc::clone(&ops),
                fit,
            ),
            accept: Accept::new(
                Arc::clone(&session),
                Arc::clone(&member),
                Arc::clone(&table),
                Arc::clone(&objects),
                Arc::clone(&ops),
            ),
            pools: Pools::new(
                Arc::clone(&session),
                Arc::clone(&member),
                table,
                objects,
                ops,
                parts.weights,
            ),
            outage: Outage::default(),
            waiters: Waiters::default(),
            workers: parts.workers,
            session,
            member,
            hints,
            outbox,
        }
    }

    /// Hints to be sent to other instances.
    pub fn outbox(&self) -> &flume::Receiver<Hint> {
        &self.outbox
    }

    /// Leaves a hint to be sent; if too many wait already, it is dropped.
    pub fn hint(&self, hint: Hint) {
        if self.hints.try_send(hint).is_err() {
            log::debug!("a hint was dropped");
        }
    }

    /// Takes a hint from another instance; whether the session should be refreshed at once.
    pub fn hinted(&self, now: Millis, from: &InstanceName, hint: Hint) -> bool {
        match hint {
            Hint::Wake { pool, job } => self.pools.wake(pool, job),
            Hint::Ended(job) => self.waiters.wake(&job),
            Hint::Head { ticket, live } => {
                self.outage.heard(now, from.clone(), ticket, live);
                return ticket > self.session.cached().number;
            }
        }
        false
    }

    /// Renews the session if that is due.
    pub fn heartbeat(&self, now: Millis) {
        if let Err(error) = self.session.step(now) {
            log::warn!("the session was not renewed: {error}");
        }
    }

    /// Looks at the list and the other instances' sessions if that is due.
    pub fn watch(&self, now: Millis) {
        if let Err(error) = self.member.step(now) {
            log::warn!("members were not read: {error}");
        }
    }

    /// Finishes what other instances left undone.
    pub fn finish(&self, now: Millis) {
        if let Err(error) = self.tickets.step(now) {
            log::warn!("pending tickets were not looked at: {error}");
        }
    }

    /// Whether idempotent calls and task leases may go on from cached state, though the session has lapsed.
    pub fn outage_is_shared(&self, now: Millis) -> bool {
        let number = self.session.cached().number;
        self.outage
            .is_shared(now, self.session.instance(), number, &self.member.last_known())
    }

    /// Steps the planners; the requests that workers are to get.
    pub fn plan(&self, now: Millis) -> Vec<PoolRequest> {
        let in_grace = self
            .session
            .lease_end()
            .is_some_and(|end| now < end + RENEW_AFTER_LAPSE);
        let renew = in_grace || self.outage_is_shared(now);
        let progress = self.pools.step(now, renew);
        for job in progress.ended {
            self.waiters.wake(&job);
            self.hint(Hint::Ended(job));
        }
        for (pool, jobs) in self.pools.waiting() {
            self.accept.note_waiting(now, pool, jobs);
        }
        progress.requests
    }

    /// Does all that is due, in one thread. The daemon uses a thread for each part instead.
    pub fn step(&self, now: Millis) {
        self.heartbeat(now);
        self.watch(now);
        self.finish(now);
        for asked in self.plan(now) {
            let result = asked.request.carry_out(self.workers.as_ref());
            self.pools.answered(now, &asked, result);
        }
    }
}
