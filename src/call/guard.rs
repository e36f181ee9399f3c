//! What a call holds while it is under way, and gives back when it is dropped.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use crate::name::{EndpointName, JobId};
use crate::platform::Address;
use crate::route::{CallResult, Router};
use crate::time::Millis;

/// Ids of the calls that this process carries out.
pub(super) type Flights = Arc<Mutex<BTreeSet<JobId>>>;

/// The right to carry out a call in this process; nobody else here sends or resolves it meanwhile.
#[derive(Debug)]
pub(super) struct Flight {
    flights: Flights,
    id: JobId,
}

impl Flight {
    /// `None` if another thread has the call.
    pub fn take(flights: &Flights, id: &JobId) -> Option<Self> {
        let mut ids = flights.lock().unwrap_or_else(PoisonError::into_inner);
        ids.insert(id.clone()).then(|| Self {
            flights: Arc::clone(flights),
            id: id.clone(),
        })
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut ids = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
        ids.remove(&self.id);
    }
}

/// A slot on an endpoint, reserved in the router.
#[derive(Debug)]
pub(super) struct Reserved {
    pub endpoint: EndpointName,
    pub address: Address,
    router: Arc<Mutex<Router>>,
    since: Millis,
    result: CallResult,
    until: Millis,
}

impl Reserved {
    pub fn new(router: &Arc<Mutex<Router>>, endpoint: EndpointName, address: Address, now: Millis) -> Self {
        Self {
            endpoint,
            address,
            router: Arc::clone(router),
            since: now,
            result: CallResult::Abandoned,
            until: now,
        }
    }

    /// Counts the duration from here.
    pub fn start(&mut self, now: Millis) {
        self.since = now;
    }

    /// Gives the slot back with the call's result.
    pub fn finish(mut self, now: Millis, result: CallResult) {
        self.result = result;
        self.until = now;
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let mut router = self.router.lock().unwrap_or_else(PoisonError::into_inner);
        router.finish_call(self.until, &self.endpoint, self.result, self.until.since(self.since));
    }
}
