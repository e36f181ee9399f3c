//! Limits the rate at which this instance uses the table.
//!
//! All instances together have a budget of writes and reads per second, and each has an equal share of it. A
//! transaction counts as one write, whatever the number of its rows, and a request that reads as one read. The requests
//! with which an adapter resolves a lost answer are not counted.
//!
//! A request above the share is not sent and fails at once with [`TableError::Limited`]. Lower priorities leave a
//! fraction of the token bucket to higher ones. The last token is reserved for the renewal of the session, so that a
//! burst of outcomes cannot make an instance lose its lease.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::token_bucket::TokenBucket;
use super::{Key, Page, Priority, Row, Step, StepUsage, Table, TableError, Txn, Version};
use crate::time::Clock;

/// Fraction of the bucket that steps of normal priority leave to others.
const NORMAL_RESERVED_SHARE: f64 = 0.5;
/// Fraction of the bucket that steps of low priority leave to others.
const LOW_RESERVED_SHARE: f64 = 0.75;

/// Requests per second that all instances together may send to the table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TableBudget {
    /// Transactions.
    pub writes: f64,
    /// Requests that read.
    pub reads: f64,
}

impl Default for TableBudget {
    /// Half of the rate that the platform sustains.
    fn default() -> Self {
        Self {
            writes: 150.0,
            reads: 1000.0,
        }
    }
}

#[derive(Debug)]
struct State {
    writes: TokenBucket,
    reads: TokenBucket,
    usage: BTreeMap<Step, StepUsage>,
}

/// A table whose use is limited to the share of this instance.
#[derive(Debug)]
pub struct RateLimitedTable<T> {
    table: T,
    clock: Arc<dyn Clock>,
    budget: TableBudget,
    state: Mutex<State>,
}

impl<T> RateLimitedTable<T>
where
    T: Table,
{
    /// Limits the use of a table to the share of one out of `instances` live instances.
    pub fn new(table: T, clock: Arc<dyn Clock>, budget: TableBudget, instances: usize) -> Self {
        let now = clock.now();
        let count = instances.max(1) as f64;
        Self {
            table,
            clock,
            budget,
            state: Mutex::new(State {
                writes: TokenBucket::new(budget.writes / count, now),
                reads: TokenBucket::new(budget.reads / count, now),
                usage: BTreeMap::new(),
            }),
        }
    }

    /// Changes the number of live instances.
    pub fn set_instances(&self, instances: usize) {
        let now = self.clock.now();
        let count = instances.max(1) as f64;
        let mut state = self.state();
        state.writes.set_share(self.budget.writes / count, now);
        state.reads.set_share(self.budget.reads / count, now);
    }

    /// Usage so far, by step.
    pub fn usage(&self) -> BTreeMap<Step, StepUsage> {
        self.state().usage.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a read request if the share allows it. The lock is not held while the table answers.
    fn limited_read<F, R>(&self, request: F) -> Result<R, TableError>
    where
        F: FnOnce(&T) -> Result<R, TableError>,
    {
        let now = self.clock.now();
        let allowed = self.state().reads.try_take(0.0, 0.0, now);
        let result = if allowed {
            request(&self.table)
        } else {
            Err(TableError::Limited)
        };
        let mut state = self.state();
        let usage = state.usage.entry(Step::Read).or_default();
        match &result {
            Ok(_) => usage.reads += 1,
            Err(error) => usage.count_error(error),
        }
        result
    }
}

impl<T> Table for RateLimitedTable<T>
where
    T: Table,
{
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        self.limited_read(|table| table.read(keys))
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        self.limited_read(|table| table.scan(prefix, after, limit))
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        let now = self.clock.now();
        let (reserved_share, reserved_tokens) = reserve(txn.step);
        let allowed = self.state().writes.try_take(reserved_share, reserved_tokens, now);
        let result = if allowed {
            self.table.commit(txn)
        } else {
            Err(TableError::Limited)
        };
        let mut state = self.state();
        let usage = state.usage.entry(txn.step).or_default();
        match &result {
            Ok(_) => {
                usage.commits += 1;
                usage.rows += txn.puts.len() as u64;
            }
            Err(error) => usage.count_error(error),
        }
        result
    }
}

/// Reserve that a step leaves to more urgent ones: a fraction of the bucket, and a number of tokens.
fn reserve(step: Step) -> (f64, f64) {
    match step.priority() {
        _ if step == Step::Renew => (0.0, 0.0),
        Priority::High => (0.0, 1.0),
        Priority::Normal => (NORMAL_RESERVED_SHARE, 0.0),
        Priority::Low => (LOW_RESERVED_SHARE, 0.0),
    }
}
