//! API requests of callers and operators, executed by the controllers.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::{Core, Hint};
use crate::accept;
use crate::api::{ApiError, Code, Handler, JobState, JobView, StatusView, TicketView};
use crate::call::Progress;
use crate::job::Class;
use crate::name::JobId;
use crate::row::TicketState;
use crate::team::Catalog;
use crate::time::{Clock, Millis};

/// Interval at which a long poll reads its job again; a hint ends it early.
const JOB_POLL_EVERY: Millis = Millis(1000);
/// Interval at which a pending ticket is checked.
const TICKET_POLL_EVERY: Millis = Millis(50);
/// Time after which the answer says that the ticket is written but still pending. A lapsing session takes 3.5 s.
const TICKET_CONFIRM_MAX: Millis = Millis::from_secs(8);

/// API handler of one instance.
pub struct Gateway {
    core: Arc<Core>,
    clock: Arc<dyn Clock>,
    draining: AtomicBool,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("core", &self.core)
            .finish_non_exhaustive()
    }
}

impl Gateway {
    /// A handler that uses these controllers.
    pub fn new(core: Arc<Core>, clock: Arc<dyn Clock>) -> Self {
        Self {
            core,
            clock,
            draining: AtomicBool::new(false),
        }
    }

    /// Reports not ready from now on, and ends long polls early.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn call(&self, id: &JobId, body: &[u8], trace: Option<&str>, idempotent: bool) -> Result<JobView, ApiError> {
        let now = self.clock.now();
        if idempotent && !self.core.may_use_cache(now) {
            let message = "this instance cannot tell whether its configuration is still in force; the call was not run";
            return Err(ApiError::new(Code::Unavailable, message));
        }
        let mut call = self.core.calls.begin(now, id, body, trace)?;
        loop {
            match self.core.calls.step(self.clock.now(), &mut call)? {
                Progress::Again => {}
                Progress::Wait(pause) => std::thread::sleep(pause.duration()),
                Progress::Done(view) => return Ok(*view),
            }
        }
    }

    fn notify_planner(&self, view: &JobView) {
        if let Some(pool) = view.pool.clone() {
            self.core.pools.reload_job(pool.clone(), view.id.clone());
            self.core.queue_hint(Hint::Wake {
                pool,
                job: view.id.clone(),
            });
        }
    }
}

impl Handler for Gateway {
    fn submit(&self, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, ApiError> {
        let now = self.clock.now();
        let spec = accept::parse_spec(body)?;
        if spec.class == Class::Call {
            return self.call(id, body, trace, spec.idempotent);
        }
        let view = self.core.accept.submit(now, id, body, trace)?;
        if view.state == JobState::Queued {
            self.notify_planner(&view);
        }
        Ok(view)
    }

    fn job(&self, id: &JobId, wait: Millis) -> Result<JobView, ApiError> {
        let end = self.clock.now() + wait;
        let wakeups = (wait > Millis::ZERO).then(|| self.core.waiters.subscribe(id));
        loop {
            let view = self.core.accept.job(id)?;
            let left = end.since(self.clock.now());
            if view.state == JobState::Ended || left == Millis::ZERO || self.is_draining() {
                drop(wakeups);
                self.core.waiters.prune(id);
                return Ok(view);
            }
            if let Some(wakeups) = &wakeups {
                // The row is read again after a wake-up and after a timeout.
                let _ = wakeups.recv_timeout(left.min(JOB_POLL_EVERY).duration());
            }
        }
    }

    fn cancel(&self, id: &JobId) -> Result<JobView, ApiError> {
        let view = self.core.accept.cancel(self.clock.now(), id)?;
        if view.state == JobState::Cancelling {
            self.notify_planner(&view);
        } else if view.state == JobState::Ended {
            self.core.waiters.wake(id);
            self.core.queue_hint(Hint::Ended(id.clone()));
        }
        Ok(view)
    }

    fn put_ticket(&self, number: u64, body: &[u8]) -> Result<TicketView, ApiError> {
        let start = self.clock.now();
        let mut view = self.core.tickets.put(start, number, body)?;
        if view.state == TicketState::Pending {
            self.core.queue_hint(Hint::Head {
                ticket: number,
                live: true,
            });
            if let Err(error) = self.core.session.refresh(self.clock.now()) {
                log::warn!("ticket {number}: session refresh failed: {error}");
            }
        }
        while view.state == TicketState::Pending && self.clock.now().since(start) < TICKET_CONFIRM_MAX {
            match self.core.tickets.confirm(self.clock.now(), number) {
                Ok(now) => view.state = now.state,
                Err(error) => log::warn!("ticket {number}: confirmation failed: {error}"),
            }
            if view.state == TicketState::Pending {
                std::thread::sleep(TICKET_POLL_EVERY.duration());
            }
        }
        Ok(view)
    }

    fn ticket(&self, number: u64) -> Result<TicketView, ApiError> {
        Ok(self.core.tickets.get(number)?)
    }

    fn catalog(&self) -> Result<Catalog, ApiError> {
        let catalog = self.core.session.catalog(self.clock.now());
        let message = "this instance cannot tell which configuration is in force; try again in a few seconds";
        catalog
            .map(|catalog| catalog.as_ref().clone())
            .ok_or_else(|| ApiError::new(Code::Unavailable, message))
    }

    fn status(&self) -> StatusView {
        let now = self.clock.now();
        let holders = self.core.pools.holders();
        let pools = self
            .core
            .session
            .cached_catalog()
            .pools
            .keys()
            .cloned()
            .collect::<Vec<_>>();
        StatusView {
            instance: self.core.session.instance().clone(),
            ticket: self.core.session.cached_catalog().number,
            session: self.core.session.is_live(now),
            draining: self.is_draining(),
            instances: self.core.membership.live(now),
            pools: pools
                .into_iter()
                .map(|pool| (pool.clone(), holders.get(&pool).cloned()))
                .collect(),
            waiting: self.core.pools.waiting(),
            at_risk: self.core.pools.at_risk(),
            quarantine: self.core.pools.quarantined(),
        }
    }

    fn is_ready(&self) -> bool {
        !self.is_draining() && self.core.session.is_live(self.clock.now())
    }
}
