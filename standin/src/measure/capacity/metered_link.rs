//! Counts what one instance asks of the platform and the endpoints.

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

/// Requests, bytes of their JSON bodies in both directions, and processor time that is not the instance's.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
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
    /// Bytes of the list; over HTTP an unchanged list is not sent again.
    pub list_bytes: u64,
    /// Time of the stand-ins and of counting.
    pub outside: Duration,
}

/// A link that counts.
pub struct Meter {
    link: Arc<Link>,
    counts: Mutex<Counts>,
}

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meter").finish_non_exhaustive()
    }
}

fn size<T>(value: &T) -> u64
where
    T: Serialize + ?Sized,
{
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

impl Meter {
    /// Counts on this link.
    pub fn new(link: Arc<Link>) -> Self {
        Self {
            link,
            counts: Mutex::default(),
        }
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts since the last call.
    pub fn take(&self) -> Counts {
        std::mem::take(&mut *self.counts())
    }

    /// Carries a request out; `count` sees the counts and its result.
    fn metered<F, C, T>(&self, f: F, count: C) -> T
    where
        F: FnOnce(&Link) -> T,
        C: FnOnce(&mut Counts, &T),
    {
        let start = ThreadTime::now();
        let result = f(&self.link);
        let mut counts = self.counts();
        count(&mut counts, &result);
        counts.outside += start.elapsed();
        result
    }
}

impl Table for Meter {
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        self.metered(
            |link| link.read(keys),
            |counts, result| {
                counts.reads += 1;
                counts.table_bytes += size(keys) + result.as_ref().map_or(0, size);
            },
        )
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        self.metered(
            |link| link.scan(prefix, after, limit),
            |counts, result| {
                counts.reads += 1;
                counts.table_bytes += size(prefix) + result.as_ref().map_or(0, size);
            },
        )
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        self.metered(
            |link| link.commit(txn),
            |counts, _| {
                counts.commits += 1;
                counts.table_bytes += size(txn);
            },
        )
    }
}

impl Listing for Meter {
    fn list(&self) -> Result<MachineList, ListingError> {
        self.metered(Link::list, |counts, result| {
            counts.list_bytes += result.as_ref().map_or(0, size);
        })
    }
}

impl Endpoints for Meter {
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError> {
        self.metered(
            |link| link.command(address, batch),
            |counts, result| {
                counts.endpoint_requests += 1;
                counts.endpoint_bytes += size(batch) + result.as_ref().map_or(0, size);
            },
        )
    }

    fn report(&self, address: Address) -> Result<Report, EndpointError> {
        self.metered(
            |link| link.report(address),
            |counts, result| {
                counts.endpoint_requests += 1;
                counts.endpoint_bytes += result.as_ref().map_or(0, size);
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
