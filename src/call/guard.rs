//! Resources that a call holds until they are dropped: its id and a slot on an endpoint.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use crate::name::{EndpointName, JobId};
use crate::platform::Address;
use crate::route::{CallResult, Router};
use crate::time::Millis;

/// Ids of the non-idempotent calls that this process is executing.
pub(super) type InFlightIds = Arc<Mutex<BTreeSet<JobId>>>;

/// Exclusive right to execute a call in this process; no other thread sends or resolves it meanwhile.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    in_flight_ids: InFlightIds,
    id: JobId,
}

impl InFlightGuard {
    /// `None` if another thread is executing the call.
    pub fn acquire(in_flight_ids: &InFlightIds, id: &JobId) -> Option<Self> {
        let mut ids = in_flight_ids.lock().unwrap_or_else(PoisonError::into_inner);
        ids.insert(id.clone()).then(|| Self {
            in_flight_ids: Arc::clone(in_flight_ids),
            id: id.clone(),
        })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut ids = self.in_flight_ids.lock().unwrap_or_else(PoisonError::into_inner);
        ids.remove(&self.id);
    }
}

/// A slot on an endpoint, reserved in the router until this is dropped.
#[derive(Debug)]
pub(super) struct SlotReservation {
    pub endpoint: EndpointName,
    pub address: Address,
    router: Arc<Mutex<Router>>,
    started_at: Millis,
    result: CallResult,
    ended_at: Millis,
}

impl SlotReservation {
    pub fn new(router: &Arc<Mutex<Router>>, endpoint: EndpointName, address: Address, now: Millis) -> Self {
        Self {
            endpoint,
            address,
            router: Arc::clone(router),
            started_at: now,
            result: CallResult::Abandoned,
            ended_at: now,
        }
    }

    /// Measures the call's duration from `now`.
    pub fn start_timer(&mut self, now: Millis) {
        self.started_at = now;
    }

    /// Releases the slot with the call's result.
    pub fn release(mut self, now: Millis, result: CallResult) {
        self.result = result;
        self.ended_at = now;
    }
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        let mut router = self.router.lock().unwrap_or_else(PoisonError::into_inner);
        router.finish_call(
            self.ended_at,
            &self.endpoint,
            self.result,
            self.ended_at.since(self.started_at),
        );
    }
}
