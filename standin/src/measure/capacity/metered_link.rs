//! Counts the requests of one instance to the platform and the endpoints.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cpu_time::ThreadTime;
use serde::Serialize;
use yuccaridge::name::JobId;
use yuccaridge::platform::{
    Address, Batch, CallPart, CallRequest, EndpointError, Endpoints, Key, Listing, ListingError, MachineList, Page,
    Refusal, Reply, Report, Row, Table, TableError, Txn, Version,
};
use yuccaridge::time::Millis;

use crate::fake::Link;

/// Number of requests, size of their JSON bodies in both directions, and CPU time that is not the instance's.
#[derive(Debug, Default, Clone, Copy)]
pub struct RequestCounts {
    /// Requests to endpoints.
    pub endpoint_requests: u64,
    /// Bytes to and from endpoints.
    pub endpoint_bytes: u64,
    /// Table requests that read.
    pub reads: u64,
    /// Transactions.
    pub commits: u64,
    /// Bytes to and from the table.
    pub table_bytes: u64,
    /// Bytes of the endpoint list; over HTTP an unchanged list is not sent again.
    pub list_bytes: u64,
    /// CPU time of the stand-ins and of counting.
    pub overhead: Duration,
}

/// A link that counts the requests through it.
pub struct MeteredLink {
    link: Arc<Link>,
    counts: Mutex<RequestCounts>,
}

impl fmt::Debug for MeteredLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MeteredLink").finish_non_exhaustive()
    }
}

fn json_bytes<T>(value: &T) -> u64
where
    T: Serialize + ?Sized,
{
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

impl MeteredLink {
    /// Creates a counter of the requests through a link.
    pub fn new(link: Arc<Link>) -> Self {
        Self {
            link,
            counts: Mutex::default(),
        }
    }

    fn counts(&self) -> MutexGuard<'_, RequestCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts since the last call.
    pub fn take(&self) -> RequestCounts {
        std::mem::take(&mut *self.counts())
    }

    /// Executes a request on the link; `count` updates the counts from its result.
    fn forward<F, C, T>(&self, request: F, count: C) -> T
    where
        F: FnOnce(&Link) -> T,
        C: FnOnce(&mut RequestCounts, &T),
    {
        let start = ThreadTime::now();
        let result = request(&self.link);
        let mut counts = self.counts();
        count(&mut counts, &result);
        counts.overhead += start.elapsed();
        result
    }
}

impl Table for MeteredLink {
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        self.forward(
            |link| link.read(keys),
            |counts, result| {
                counts.reads += 1;
                counts.table_bytes += json_bytes(keys) + result.as_ref().map_or(0, json_bytes);
            },
        )
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        self.forward(
            |link| link.scan(prefix, after, limit),
            |counts, result| {
                counts.reads += 1;
                counts.table_bytes += json_bytes(prefix) + result.as_ref().map_or(0, json_bytes);
            },
        )
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        self.forward(
            |link| link.commit(txn),
            |counts, _| {
                counts.commits += 1;
                counts.table_bytes += json_bytes(txn);
            },
        )
    }
}

impl Listing for MeteredLink {
    fn list(&self) -> Result<MachineList, ListingError> {
        self.forward(Link::list, |counts, result| {
            counts.list_bytes += result.as_ref().map_or(0, json_bytes);
        })
    }
}

impl Endpoints for MeteredLink {
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError> {
        self.forward(
            |link| link.command(address, batch),
            |counts, result| {
                counts.endpoint_requests += 1;
                counts.endpoint_bytes += json_bytes(batch) + result.as_ref().map_or(0, json_bytes);
            },
        )
    }

    fn report(&self, address: Address) -> Result<Report, EndpointError> {
        self.forward(
            |link| link.report(address),
            |counts, result| {
                counts.endpoint_requests += 1;
                counts.endpoint_bytes += result.as_ref().map_or(0, json_bytes);
            },
        )
    }

    fn call(&self, address: Address, call: &CallRequest, timeout: Millis) -> Result<Vec<CallPart>, EndpointError> {
        self.link.call(address, call, timeout)
    }

    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, EndpointError> {
        self.link.refuse(address, job, attempt)
    }
}
