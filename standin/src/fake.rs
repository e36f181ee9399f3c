//! The library's traits over the stand-ins' state, in one process and in virtual time.
//!
//! One [`Platform`] is shared by all instances of a test. Each instance gets its own [`Link`] to it, and each link has a
//! hook that is asked before and after every request. A hook may inject a fault, or step other instances: no lock is
//! held while it runs, so a frozen instance is one whose hook lets the others go on in the middle of a request.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccaridge::name::{JobId, WorkerName};
use yuccaridge::platform::{
    Address, Batch, CallPart, CallRequest, Key, Listed, ListedInstance, Listing, ListingError, ObjectError, Objects,
    Page, Refusal, Reply, Report, Row, Step, Table, TableError, Txn, Version, WorkerError, Workers,
};
use yuccaridge::time::{Clock, Millis};

use crate::record::Entry;
use crate::table::{MemoryObjects, MemoryTable};
use crate::worker::Worker;

/// Clock that moves only when told to.
#[derive(Debug, Default)]
pub struct VirtualClock(AtomicU64);

impl VirtualClock {
    /// Moves on.
    pub fn advance(&self, span: Millis) {
        self.0.fetch_add(span.0, Ordering::Relaxed);
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }
}

/// Side of a request on which a hook is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// Nothing was sent yet.
    Before,
    /// The request took effect; its answer is under way.
    After,
}

/// Where a hook is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Point {
    /// Step of the request.
    pub step: Step,
    /// Before or after it took effect.
    pub side: Side,
    /// Worker that it goes to, if it goes to one.
    pub worker: Option<WorkerName>,
}

/// What a hook wants to happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Go on.
    None,
    /// The request or its answer is lost.
    Cut,
}

type Hook = Arc<dyn Fn(&Point) -> Fault + Send + Sync>;

#[derive(Debug, Default)]
struct Fleet {
    workers: BTreeMap<Address, Worker>,
    instances: Vec<ListedInstance>,
}

/// All that the platform keeps: table, objects, workers, list, clock.
#[derive(Debug, Default)]
pub struct Platform {
    /// The clock.
    pub clock: VirtualClock,
    /// The table.
    pub table: MemoryTable,
    /// The object store.
    pub objects: MemoryObjects,
    fleet: Mutex<Fleet>,
}

impl Platform {
    /// An empty platform.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a worker.
    pub fn add_worker(&self, worker: Worker) {
        self.fleet().workers.insert(worker.listed().address, worker);
    }

    /// Lists these instances of the system.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.fleet().instances = instances;
    }

    /// Does something to a worker; `None` if there is none of this name.
    pub fn with_worker<F, T>(&self, name: &WorkerName, f: F) -> Option<T>
    where
        F: FnOnce(&mut Worker, Millis) -> T,
    {
        let now = self.clock.now();
        self.fleet()
            .workers
            .values_mut()
            .find(|worker| worker.listed().name == *name)
            .map(|worker| f(worker, now))
    }

    /// What all workers did, in order of time.
    pub fn record(&self) -> Vec<Entry> {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let mut entries = Vec::new();
        for worker in fleet.workers.values_mut() {
            if worker.is_alive() {
                worker.advance(now);
            }
            entries.extend_from_slice(worker.record());
        }
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

/// One instance's way to the platform and the workers.
pub struct Link {
    platform: Arc<Platform>,
    hook: Mutex<Hook>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    /// A link on which nothing fails.
    pub fn new(platform: &Arc<Platform>) -> Arc<Self> {
        Arc::new(Self {
            platform: Arc::clone(platform),
            hook: Mutex::new(Arc::new(|_| Fault::None)),
        })
    }

    /// Asks this hook from now on.
    pub fn set_hook<F>(&self, hook: F)
    where
        F: Fn(&Point) -> Fault + Send + Sync + 'static,
    {
        *self.hook.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(hook);
    }

    fn ask(&self, step: Step, side: Side, worker: Option<&WorkerName>) -> Fault {
        let hook = Arc::clone(&self.hook.lock().unwrap_or_else(PoisonError::into_inner));
        hook(&Point {
            step,
            side,
            worker: worker.cloned(),
        })
    }

    fn table_request<F, T>(&self, step: Step, f: F) -> Result<T, TableError>
    where
        F: FnOnce(&MemoryTable) -> Result<T, TableError>,
    {
        if self.ask(step, Side::Before, None) == Fault::Cut {
            return Err(TableError::Unavailable("cut".to_owned()));
        }
        let answer = f(&self.platform.table);
        if self.ask(step, Side::After, None) == Fault::Cut {
            return Err(TableError::Unknown("cut".to_owned()));
        }
        answer
    }

    fn worker_request<F, T>(&self, step: Step, address: Address, f: F) -> Result<T, WorkerError>
    where
        F: FnOnce(&mut Worker, Millis) -> Result<T, WorkerError>,
    {
        let name = self
            .platform
            .fleet()
            .workers
            .get(&address)
            .map(|worker| worker.listed().name.clone());
        if self.ask(step, Side::Before, name.as_ref()) == Fault::Cut {
            return Err(WorkerError::Unreached("cut".to_owned()));
        }
        let answer = match self.platform.fleet().workers.get_mut(&address) {
            Some(worker) if worker.is_alive() => f(worker, self.platform.clock.now()),
            _ => return Err(WorkerError::Unreached("nobody answers".to_owned())),
        };
        if self.ask(step, Side::After, name.as_ref()) == Fault::Cut {
            return Err(WorkerError::Lost("cut".to_owned()));
        }
        answer
    }
}

impl Table for Link {
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        self.table_request(Step::Read, |table| table.read(keys))
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        self.table_request(Step::Read, |table| table.scan(prefix, after, limit))
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        self.table_request(txn.step, |table| table.commit(txn))
    }
}

impl Objects for Link {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), ObjectError> {
        if self.ask(Step::Object, Side::Before, None) == Fault::Cut {
            return Err(ObjectError::Unavailable("cut".to_owned()));
        }
        self.platform.objects.put(name, bytes)
    }

    fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        if self.ask(Step::Object, Side::Before, None) == Fault::Cut {
            return Err(ObjectError::Unavailable("cut".to_owned()));
        }
        self.platform.objects.get(name)
    }
}

impl Listing for Link {
    fn list(&self) -> Result<Listed, ListingError> {
        if self.ask(Step::List, Side::Before, None) == Fault::Cut {
            return Err(ListingError("cut".to_owned()));
        }
        let fleet = self.platform.fleet();
        Ok(Listed {
            workers: fleet.workers.values().map(|worker| worker.listed().clone()).collect(),
            instances: fleet.instances.clone(),
        })
    }
}

impl Workers for Link {
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, WorkerError> {
        let step = batch
            .commands
            .first()
            .map_or(Step::RenewTasks, |command| command.action.step());
        self.worker_request(step, address, |worker, now| Ok(worker.command(now, batch)))
    }

    fn report(&self, address: Address) -> Result<Report, WorkerError> {
        self.worker_request(Step::Report, address, |worker, now| Ok(worker.report(now)))
    }

    fn call(&self, address: Address, call: &CallRequest, _timeout: Millis) -> Result<Vec<CallPart>, WorkerError> {
        self.worker_request(Step::Send, address, |worker, now| {
            worker.call(now, call).map(|(_, parts)| parts)
        })
    }

    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, WorkerError> {
        self.worker_request(
            Step::Refuse,
            address,
            |worker, now| Ok(worker.refuse(now, job, attempt)),
        )
    }
}
