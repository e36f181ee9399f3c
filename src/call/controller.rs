//! The controller for calls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use super::guard::{InFlightIds, SlotReservation};
use super::stage::Stage;
use super::{CALL_DEADLINE_DEFAULT, CALL_DEADLINE_MAX, Call, CallError, Progress};
use crate::accept::{AcceptError, check_spec, parse};
use crate::job::Class;
use crate::member::Member;
use crate::name::{EndpointName, JobId};
use crate::platform::{Address, EndpointError, Endpoints, Key, Objects, Report, Table};
use crate::route::{Backend, Router};
use crate::row::{OpIds, digest};
use crate::session::Session;
use crate::time::Millis;

/// Lowest bits of an idempotent call's attempt, which count its tries.
const TRY_COUNT_BITS: u32 = 4;

/// Carries out calls.
#[derive(Debug)]
pub struct CallController {
    pub(super) session: Arc<Session>,
    pub(super) member: Arc<Member>,
    pub(super) router: Arc<Mutex<Router>>,
    pub(super) table: Arc<dyn Table>,
    pub(super) objects: Arc<dyn Objects>,
    pub(super) endpoints: Arc<dyn Endpoints>,
    pub(super) ops: Arc<OpIds>,
    pub(super) in_flight_ids: InFlightIds,
    /// Boots of endpoints, as last reported. An old one makes an endpoint refuse a call, which is safe.
    boots: Mutex<BTreeMap<EndpointName, u64>>,
    /// Key after which the next look for abandoned calls goes on.
    pub(super) scan_cursor: Mutex<Option<Key>>,
}

impl CallController {
    /// A controller; the router is shared with whoever tells it about endpoints.
    pub fn new(
        session: Arc<Session>,
        member: Arc<Member>,
        router: Arc<Mutex<Router>>,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        endpoints: Arc<dyn Endpoints>,
        ops: Arc<OpIds>,
    ) -> Self {
        Self {
            session,
            member,
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

    /// Non-idempotent calls that this process carries out.
    pub fn in_flight(&self) -> usize {
        self.in_flight_ids.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Tells the router which endpoints and instances there are now.
    pub fn update_router(&self, now: Millis, quarantined: &BTreeSet<EndpointName>) {
        let endpoints = self.member.endpoints();
        let backends = endpoints.values().map(|known| Backend {
            name: known.listed.name.clone(),
            slots: known.listed.slots,
            connections: known.listed.connections,
            open: known.is_open() && !quarantined.contains(&known.listed.name),
        });
        let instances = self.member.live(now).len();
        let session_live = self.session.is_live(now);
        let mut router = self.router();
        router.set_endpoints(backends);
        // While the table is down all sessions look lapsed, but the other instances still make calls.
        if session_live {
            router.set_instances(instances);
        }
    }

    /// Takes in an endpoint's report.
    pub fn record_report(&self, now: Millis, report: &Report) {
        self.boots().insert(report.endpoint.clone(), report.boot);
        self.router()
            .record_report(now, &report.endpoint, u32::from(report.calls));
    }

    /// Takes in calls in flight by endpoint, as another instance was told.
    pub fn record_loads(&self, now: Millis, loads: &BTreeMap<EndpointName, u32>) {
        let mut router = self.router();
        for (endpoint, calls) in loads {
            router.record_report(now, endpoint, *calls);
        }
    }

    /// Asks an endpoint for its boot.
    pub(super) fn fetch_boot(&self, endpoint: &EndpointName, address: Address) -> Result<u64, EndpointError> {
        let report = self.endpoints.report(address)?;
        if report.endpoint != *endpoint {
            return Err(EndpointError::Unreached(format!("{} answers there", report.endpoint)));
        }
        self.boots().insert(endpoint.clone(), report.boot);
        Ok(report.boot)
    }

    /// An endpoint's boot, as last reported.
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

    /// Reserves a slot on an endpoint that is live, as far as is known now.
    pub(super) fn pick(&self, now: Millis, avoid: &mut Vec<EndpointName>) -> Option<SlotReservation> {
        let endpoints = self.member.endpoints();
        loop {
            let endpoint = self.router().pick(now, avoid)?;
            let known = endpoints.get(&endpoint).filter(|known| known.is_open());
            let address = known.map(|known| known.listed.address);
            match address {
                Some(address) => return Some(SlotReservation::new(&self.router, endpoint, address, now)),
                // Dropping the reservation gives the slot back.
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

    /// Reads and checks a call. [`CallController::step`] does the rest.
    pub fn begin(&self, now: Millis, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<Call, CallError> {
        let spec = parse(body)?;
        if spec.class != Class::Call {
            let message = "A batch job cannot be carried out as a call.".to_owned();
            return Err(AcceptError::NotAllowed(message).into());
        }
        let stage = if spec.idempotent {
            check_spec(&self.session.cached(), &spec)?;
            Stage::SendIdempotent
        } else {
            Stage::ReadRow
        };
        let declared = Millis(spec.deadline_s.saturating_mul(1000));
        let limit = match declared {
            Millis::ZERO => CALL_DEADLINE_DEFAULT,
            declared => declared.min(CALL_DEADLINE_MAX),
        };
        // Endpoints know answers by job and attempt. Nothing tells a repeated id with another body from the same
        // request, so each idempotent request has attempts of its own.
        let request_hash = Sha256::digest(self.ops.next().0.as_bytes());
        let first_attempt = u32::from_be_bytes([request_hash[0], request_hash[1], request_hash[2], request_hash[3]])
            >> TRY_COUNT_BITS
            << TRY_COUNT_BITS;
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

    /// Goes on with a call. An error means that it was not run, and ends it.
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
