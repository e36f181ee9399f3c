//! Implementations of the library's platform traits in one process and in virtual time.
//!
//! One [`Platform`] is shared by all instances of a test. Each instance has its own [`Link`] to it, and each link has a
//! hook that is called before and after every request. A hook can inject a fault or run other instances. No lock is held
//! during the call, so a test simulates a frozen instance by a hook that runs the others in the middle of a request.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::platform::{
    Address, Batch, CallPart, CallRequest, EndpointError, Endpoints, Key, ListedInstance, Listing, ListingError,
    MachineList, ObjectError, Objects, Page, Refusal, Reply, Report, Row, Step, Table, TableError, Txn, Version,
};
use yuccaridge::time::{Clock, Millis};

pub use crate::fault::{Fault, PartFault, Point, Side};

use crate::endpoint::Endpoint;
use crate::fault::Delayed;
use crate::record::Entry;
use crate::table::{MemoryObjects, MemoryTable};

/// Clock that moves only by [`VirtualClock::advance`].
#[derive(Debug, Default)]
pub struct VirtualClock(AtomicU64);

impl VirtualClock {
    /// Advances the clock.
    pub fn advance(&self, span: Millis) {
        self.0.fetch_add(span.0, Ordering::Relaxed);
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }
}

type Hook = Arc<dyn Fn(&Point) -> Fault + Send + Sync>;

#[derive(Debug, Default)]
struct Fleet {
    endpoints: BTreeMap<Address, Endpoint>,
    instances: Vec<ListedInstance>,
}

/// State of the platform: table, objects, endpoints, listed instances and clock.
#[derive(Debug, Default)]
pub struct Platform {
    /// Clock.
    pub clock: VirtualClock,
    /// Table.
    pub table: MemoryTable,
    /// Object store.
    pub objects: MemoryObjects,
    fleet: Mutex<Fleet>,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an endpoint and its entry in the list.
    pub fn add_endpoint(&self, endpoint: Endpoint) {
        self.fleet().endpoints.insert(endpoint.listed().address, endpoint);
    }

    /// Replaces the listed instances of the system.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.fleet().instances = instances;
    }

    /// Calls `f` with an endpoint and the current time; `None` if no endpoint has this name.
    pub fn with_endpoint<F, T>(&self, name: &EndpointName, f: F) -> Option<T>
    where
        F: FnOnce(&mut Endpoint, Millis) -> T,
    {
        let now = self.clock.now();
        self.fleet()
            .endpoints
            .values_mut()
            .find(|endpoint| endpoint.listed().name == *name)
            .map(|endpoint| f(endpoint, now))
    }

    /// Records of all endpoints, ordered by time.
    pub fn record(&self) -> Vec<Entry> {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let mut entries = Vec::new();
        for endpoint in fleet.endpoints.values_mut() {
            if endpoint.is_alive() {
                endpoint.advance(now);
            }
            entries.extend_from_slice(endpoint.record());
        }
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

/// One instance's connection to the platform and the endpoints.
pub struct Link {
    platform: Arc<Platform>,
    hook: Mutex<Hook>,
    delayed: Mutex<Vec<Delayed>>,
    list: Mutex<Option<MachineList>>,
    /// Whether reads report the last delayed transaction as applied.
    reports_delayed: AtomicBool,
    /// Last transaction that was delayed, delivered or not.
    last_delayed: Mutex<Option<Txn>>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    /// Creates a link without faults.
    pub fn new(platform: &Arc<Platform>) -> Arc<Self> {
        Arc::new(Self {
            platform: Arc::clone(platform),
            hook: Mutex::new(Arc::new(|_| Fault::None)),
            delayed: Mutex::new(Vec::new()),
            list: Mutex::new(None),
            reports_delayed: AtomicBool::new(false),
            last_delayed: Mutex::new(None),
        })
    }

    /// Replaces the hook.
    pub fn set_hook<F>(&self, hook: F)
    where
        F: Fn(&Point) -> Fault + Send + Sync + 'static,
    {
        *self.hook.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(hook);
    }

    /// Returns this list from now on in place of the platform's, which simulates a list that is outdated or wrong. `None`
    /// returns the platform's list again.
    pub fn set_list(&self, list: Option<MachineList>) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }

    /// From now on, reads name the last delayed transaction as the last operation on each row that it would write, as if
    /// it had been applied. A test uses this to verify that a checker detects such a table.
    pub fn report_delayed_as_applied(&self) {
        self.reports_delayed.store(true, Ordering::Relaxed);
    }

    fn remember_delayed(&self, request: Option<&Delayed>) {
        if let Some(Delayed::Commit(txn)) = request {
            *self.last_delayed.lock().unwrap_or_else(PoisonError::into_inner) = Some(txn.clone());
        }
    }

    /// Rows as the link returns them to the reader.
    fn as_reported(&self, mut rows: Vec<Option<Row>>) -> Vec<Option<Row>> {
        if !self.reports_delayed.load(Ordering::Relaxed) {
            return rows;
        }
        let last_delayed = self.last_delayed.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(txn) = last_delayed.as_ref() else { return rows };
        for row in rows.iter_mut().flatten() {
            if txn.puts.iter().any(|put| put.key == row.key) {
                row.op = txn.op.clone();
            }
        }
        rows
    }

    /// Delivers the delayed requests in the order in which they were sent and drops their answers. Returns their number.
    pub fn deliver(&self) -> usize {
        let delayed = std::mem::take(&mut *self.delayed.lock().unwrap_or_else(PoisonError::into_inner));
        for request in &delayed {
            match request {
                Delayed::Commit(txn) => drop(self.platform.table.commit(txn)),
                Delayed::Object(name, bytes) => drop(self.platform.objects.put(name, bytes)),
                Delayed::Command(address, batch) => {
                    drop(self.apply_at(*address, |endpoint, now| Ok(endpoint.command(now, batch))));
                }
                Delayed::Call(address, call) => drop(self.apply_at(*address, |endpoint, now| endpoint.call(now, call))),
                Delayed::Refuse(address, job, attempt) => {
                    drop(self.apply_at(*address, |endpoint, now| Ok(endpoint.refuse(now, job, *attempt))));
                }
            }
        }
        delayed.len()
    }

    fn call_hook(&self, step: Step, side: Side, endpoint: Option<&EndpointName>) -> Fault {
        let hook = Arc::clone(&self.hook.lock().unwrap_or_else(PoisonError::into_inner));
        hook(&Point {
            step,
            side,
            endpoint: endpoint.cloned(),
        })
    }

    fn queue_delayed(&self, request: Option<Delayed>) {
        let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
        delayed.extend(request);
    }

    fn table_request<F, T>(&self, step: Step, delayed: Option<Delayed>, f: F) -> Result<T, TableError>
    where
        F: Fn(&MemoryTable) -> Result<T, TableError>,
    {
        match self.call_hook(step, Side::Before, None) {
            Fault::Cut => return Err(TableError::Unavailable("cut".to_owned())),
            Fault::Delay => {
                self.remember_delayed(delayed.as_ref());
                self.queue_delayed(delayed);
                return Err(TableError::Unknown("delayed".to_owned()));
            }
            Fault::Repeat => drop(f(&self.platform.table)),
            Fault::None | Fault::Parts(_) => {}
        }
        let answer = f(&self.platform.table);
        if self.call_hook(step, Side::After, None) == Fault::Cut {
            return Err(TableError::Unknown("cut".to_owned()));
        }
        answer
    }

    /// Calls `f` with the endpoint at this address, if a live one is there.
    fn apply_at<F, T>(&self, address: Address, f: F) -> Result<T, EndpointError>
    where
        F: FnOnce(&mut Endpoint, Millis) -> Result<T, EndpointError>,
    {
        match self.platform.fleet().endpoints.get_mut(&address) {
            Some(endpoint) if endpoint.is_alive() => f(endpoint, self.platform.clock.now()),
            _ => Err(EndpointError::Unreached("no live endpoint at this address".to_owned())),
        }
    }

    /// Sends a request to an endpoint; returns the answer and the fault to apply to it.
    fn endpoint_request<F, T>(
        &self,
        step: Step,
        address: Address,
        delayed: Option<Delayed>,
        f: F,
    ) -> Result<(T, Fault), EndpointError>
    where
        F: Fn(&mut Endpoint, Millis) -> Result<T, EndpointError>,
    {
        let name = self
            .platform
            .fleet()
            .endpoints
            .get(&address)
            .map(|endpoint| endpoint.listed().name.clone());
        match self.call_hook(step, Side::Before, name.as_ref()) {
            Fault::Cut => return Err(EndpointError::Unreached("cut".to_owned())),
            Fault::Delay => {
                self.queue_delayed(delayed);
                return Err(EndpointError::Lost("delayed".to_owned()));
            }
            Fault::Repeat => drop(self.apply_at(address, &f)),
            Fault::None | Fault::Parts(_) => {}
        }
        let answer = self.apply_at(address, &f);
        if matches!(answer, Err(EndpointError::Unreached(_))) {
            return answer.map(|answer| (answer, Fault::None));
        }
        match self.call_hook(step, Side::After, name.as_ref()) {
            Fault::Cut => Err(EndpointError::Lost("cut".to_owned())),
            fault => answer.map(|answer| (answer, fault)),
        }
    }
}

impl Table for Link {
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        self.table_request(Step::Read, None, |table| table.read(keys))
            .map(|rows| self.as_reported(rows))
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        self.table_request(Step::Read, None, |table| table.scan(prefix, after, limit))
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        let delayed = Delayed::Commit(txn.clone());
        self.table_request(txn.step, Some(delayed), |table| table.commit(txn))
    }
}

impl Objects for Link {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), ObjectError> {
        match self.call_hook(Step::Object, Side::Before, None) {
            Fault::Cut => return Err(ObjectError::Unavailable("cut".to_owned())),
            Fault::Delay => {
                self.queue_delayed(Some(Delayed::Object(name.to_owned(), bytes.to_vec())));
                return Err(ObjectError::Unavailable("delayed".to_owned()));
            }
            _ => {}
        }
        self.platform.objects.put(name, bytes)?;
        match self.call_hook(Step::Object, Side::After, None) {
            Fault::Cut => Err(ObjectError::Unavailable("cut".to_owned())),
            _ => Ok(()),
        }
    }

    fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        match self.call_hook(Step::Object, Side::Before, None) {
            Fault::Cut | Fault::Delay => Err(ObjectError::Unavailable("cut".to_owned())),
            _ => self.platform.objects.get(name),
        }
    }
}

impl Listing for Link {
    fn list(&self) -> Result<MachineList, ListingError> {
        if matches!(
            self.call_hook(Step::List, Side::Before, None),
            Fault::Cut | Fault::Delay
        ) {
            return Err(ListingError("cut".to_owned()));
        }
        if let Some(list) = &*self.list.lock().unwrap_or_else(PoisonError::into_inner) {
            return Ok(list.clone());
        }
        let fleet = self.platform.fleet();
        Ok(MachineList {
            endpoints: fleet
                .endpoints
                .values()
                .map(|endpoint| endpoint.listed().clone())
                .collect(),
            instances: fleet.instances.clone(),
        })
    }
}

impl Endpoints for Link {
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError> {
        let step = batch
            .commands
            .first()
            .map_or(Step::RenewTasks, |command| command.action.step());
        let delayed = Delayed::Command(address, batch.clone());
        let answer = self.endpoint_request(step, address, Some(delayed), |endpoint, now| {
            Ok(endpoint.command(now, batch))
        });
        answer.map(|(replies, _)| replies)
    }

    fn report(&self, address: Address) -> Result<Report, EndpointError> {
        let answer = self.endpoint_request(Step::Report, address, None, |endpoint, now| Ok(endpoint.report(now)));
        answer.map(|(report, _)| report)
    }

    fn call(&self, address: Address, call: &CallRequest, timeout: Millis) -> Result<Vec<CallPart>, EndpointError> {
        let sent = self.platform.clock.now();
        let delayed = Delayed::Call(address, call.clone());
        let answer = self.endpoint_request(Step::Send, address, Some(delayed), |endpoint, now| {
            endpoint.call(now, call)
        });
        let ((end, parts), fault) = answer?;
        // Virtual time does not pass during a call: an answer within the timeout is returned at once.
        if end.since(sent) > timeout {
            return Err(EndpointError::Lost("timed out".to_owned()));
        }
        match fault {
            Fault::Parts(disorder) => Ok(disorder.apply(parts)),
            _ => Ok(parts),
        }
    }

    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, EndpointError> {
        let delayed = Delayed::Refuse(address, job.clone(), attempt);
        let answer = self.endpoint_request(Step::Refuse, address, Some(delayed), |endpoint, now| {
            Ok(endpoint.refuse(now, job, attempt))
        });
        answer.map(|(refusal, _)| refusal)
    }
}
