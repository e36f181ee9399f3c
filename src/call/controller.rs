//! The controller for calls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use super::guard::{InFlightIds, SlotReservation};
use super::stage::Stage;
use super::{CALL_DEADLINE_DEFAULT, CALL_DEADLINE_MAX, Call, CallError, Progress};
use crate::accept::{AcceptError, check_spec, parse_spec};
use crate::job::Class;
use crate::membership::Membership;
use crate::name::{EndpointName, JobId};
use crate::platform::{Address, EndpointError, Endpoints, Key, Objects, Report, Table};
use crate::route::{Backend, Router};
use crate::row::{OpIds, digest};
use crate::session::Session;
use crate::time::Millis;

/// Number of low bits in the attempt number of an idempotent call that count its tries.
const TRY_COUNT_BITS: u32 = 4;

/// Executes calls.
#[derive(Debug)]
pub struct CallController {
    pub(super) session: Arc<Session>,
    pub(super) membership: Arc<Membership>,
    pub(super) router: Arc<Mutex<Router>>,
    pub(super) table: Arc<dyn Table>,
    pub(super) objects: Arc<dyn Objects>,
    pub(super) endpoints: Arc<dyn Endpoints>,
    pub(super) ops: Arc<OpIds>,
    pub(super) in_flight_ids: InFlightIds,
    /// Last reported boot of each endpoint. An outdated boot makes the endpoint refuse the call, which is safe.
    boots: Mutex<BTreeMap<EndpointName, u64>>,
    /// Key after which the next scan for abandoned calls continues.
    pub(super) scan_cursor: Mutex<Option<Key>>,
}

impl CallController {
    /// A controller; the router is shared with the slot reservations of its calls.
    pub fn new(
        session: Arc<Session>,
        membership: Arc<Membership>,
        router: Arc<Mutex<Router>>,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        endpoints: Arc<dyn Endpoints>,
        ops: Arc<OpIds>,
    ) -> Self {
        Self {
            session,
            membership,
            router,
            table,
            objects,
            endpoints,
            ops,
            in_flight_ids: InFlightIds::default(),
            boots: Mutex::default(),
            scan_cursor: Mutex::default(),
        }
    }

    pub(super) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn boots(&self) -> MutexGuard<'_, BTreeMap<EndpointName, u64>> {
        self.boots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of non-idempotent calls that this process is executing.
    pub fn in_flight(&self) -> usize {
        self.in_flight_ids.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Updates the router's endpoints and its number of instances.
    pub fn update_router(&self, now: Millis, quarantined: &BTreeSet<EndpointName>) {
        let endpoints = self.membership.endpoints();
        let backends = endpoints.values().map(|known| Backend {
            name: known.listed.name.clone(),
            slots: known.listed.slots,
            connections: known.listed.connections,
            open: known.is_open() && !quarantined.contains(&known.listed.name),
        });
        let instances = self.membership.live(now).len();
        let session_live = self.session.is_live(now);
        let mut router = self.router();
        router.set_endpoints(backends);
        // While the table is down, all sessions appear lapsed, but the other instances still send calls.
        if session_live {
            router.set_instances(instances);
        }
    }

    /// Records the boot and the calls in flight that an endpoint reports.
    pub fn record_report(&self, now: Millis, report: &Report) {
        self.boots().insert(report.endpoint.clone(), report.boot);
        self.router()
            .record_report(now, &report.endpoint, u32::from(report.calls));
    }

    /// Records calls in flight by endpoint, as the endpoints reported them to another instance.
    pub fn record_loads(&self, now: Millis, loads: &BTreeMap<EndpointName, u32>) {
        let mut router = self.router();
        for (endpoint, calls) in loads {
            router.record_report(now, endpoint, *calls);
        }
    }

    /// Requests an endpoint's boot.
    pub(super) fn fetch_boot(&self, endpoint: &EndpointName, address: Address) -> Result<u64, EndpointError> {
        let report = self.endpoints.report(address)?;
        if report.endpoint != *endpoint {
            return Err(EndpointError::Unreached(format!(
                "endpoint {} answers at the address of {endpoint}",
                report.endpoint
            )));
        }
        self.boots().insert(endpoint.clone(), report.boot);
        Ok(report.boot)
    }

    /// An endpoint's last reported boot; requests it if none was reported.
    pub(super) fn boot(&self, endpoint: &EndpointName, address: Address) -> Result<u64, EndpointError> {
        let known = self.boots().get(endpoint).copied();
        match known {
            Some(boot) => Ok(boot),
            None => self.fetch_boot(endpoint, address),
        }
    }

    pub(super) fn forget_boot(&self, endpoint: &EndpointName) {
        self.boots().remove(endpoint);
    }

    /// Reserves a slot on an endpoint that is open in the current list; adds others that the router picks to `avoid`.
    pub(super) fn pick(&self, now: Millis, avoid: &mut Vec<EndpointName>) -> Option<SlotReservation> {
        let endpoints = self.membership.endpoints();
        loop {
            let endpoint = self.router().pick(now, avoid)?;
            let known = endpoints.get(&endpoint).filter(|known| known.is_open());
            let address = known.map(|known| known.listed.address);
            match address {
                Some(address) => return Some(SlotReservation::new(&self.router, endpoint, address, now)),
                // Dropping the reservation releases the slot.
                None => drop(SlotReservation::new(
                    &self.router,
                    endpoint.clone(),
                    ([0, 0, 0, 0], 0).into(),
                    now,
                )),
            }
            avoid.push(endpoint);
        }
    }

    /// Parses and checks a call. [`CallController::step`] executes it.
    pub fn begin(&self, now: Millis, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<Call, CallError> {
        let spec = parse_spec(body)?;
        if spec.class != Class::Call {
            let message = "A batch job cannot be executed as a call.".to_owned();
            return Err(AcceptError::NotAllowed(message).into());
        }
        let stage = if spec.idempotent {
            check_spec(&self.session.cached_catalog(), &spec)?;
            Stage::SendIdempotent
        } else {
            Stage::ReadRow
        };
        let declared = Millis(spec.deadline_s.saturating_mul(1000));
        let limit = match declared {
            Millis::ZERO => CALL_DEADLINE_DEFAULT,
            declared => declared.min(CALL_DEADLINE_MAX),
        };
        // Endpoints keep answers by job and attempt. Without a row, a repeated id with another body cannot be told from
        // the same request, so each idempotent request gets attempt numbers of its own.
        let op_hash = Sha256::digest(self.ops.next().0.as_bytes());
        let first_attempt =
            u32::from_be_bytes([op_hash[0], op_hash[1], op_hash[2], op_hash[3]]) >> TRY_COUNT_BITS << TRY_COUNT_BITS;
        Ok(Call {
            id: id.clone(),
            spec,
            digest: digest(body),
            trace: trace.map(str::to_owned),
            deadline: now + limit,
            stage,
            avoid: Vec::new(),
            tries: 0,
            first_attempt,
            may_have_run: false,
            in_flight_guard: None,
            reservation: None,
            unsent_ops: Vec::new(),
            row_seen: false,
            unstarted_version: None,
            known_outcome: None,
        })
    }

    /// Advances a call by one stage. An error ends the call and means that it was not run.
    pub fn step(&self, now: Millis, call: &mut Call) -> Result<Progress, CallError> {
        match std::mem::replace(&mut call.stage, Stage::ReadRow) {
            Stage::SendIdempotent => self.send_idempotent(now, call),
            Stage::HandleIdempotentReply {
                reservation,
                send_result,
            } => Ok(call.handle_idempotent_reply(now, reservation, &send_result)),
            Stage::ReadRow => self.read_row(now, call),
            Stage::Send { stored, reservation } => Ok(self.send(now, call, stored, reservation)),
            Stage::HandleReply {
                stored,
                reservation,
                send_result,
            } => Ok(self.handle_reply(now, call, stored, reservation, send_result)),
            Stage::Resolve { stored } => Ok(self.resolve(now, call, stored)),
            Stage::WriteOutcome { stored, outcome } => Ok(self.write_outcome(now, call, stored, outcome)),
        }
    }
}
