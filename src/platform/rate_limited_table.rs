//! Bounds what this instance asks of the table.
//!
//! All instances together have a budget of writes and reads a second, and each has an equal share of it. A write is a
//! transaction, whatever the number of its rows, and a read is a request. What an adapter does to resolve a lost
//! answer is not counted.
//!
//! A request beyond the share is not sent and fails with [`TableError::Limited`]; nothing waits here. Lower priorities
//! leave a part of the bucket to higher ones, and the last token is left to the renewal of the session, so that a wave
//! of outcomes cannot cost an instance its lease.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::token_bucket::TokenBucket;
use super::{Key, Page, Priority, Row, Step, StepUsage, Table, TableError, Txn, Version};
use crate::time::Clock;

/// Part of the bucket that steps of normal priority leave.
const NORMAL_RESERVE: f64 = 0.5;
/// Part of the bucket that steps of low priority leave.
const LOW_RESERVE: f64 = 0.75;

/// What all instances together may ask of the table in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TableBudget {
    /// Transactions.
    pub writes: f64,
    /// Requests that read.
    pub reads: f64,
}

impl Default for TableBudget {
    /// Half of what the platform sustains.
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

/// A table of which this instance uses no more than its share.
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
    /// Limits the use of a table to the share of one of `instances` live instances.
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

    /// What each step asked for so far.
    pub fn usage(&self) -> BTreeMap<Step, StepUsage> {
        self.state().usage.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads, if the share allows it. The lock is not held while the table answers.
    fn limited_read<F, R>(&self, f: F) -> Result<R, TableError>
    where
        F: FnOnce(&T) -> Result<R, TableError>,
    {
        let now = self.clock.now();
        let taken = self.state().reads.take(0.0, 0.0, now);
        let result = if taken {
            f(&self.table)
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
        let (part, tokens) = reserve(txn.step);
        let taken = self.state().writes.take(part, tokens, now);
        let result = if taken {
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

/// What a step leaves to more urgent ones: a part of the bucket, and tokens.
fn reserve(step: Step) -> (f64, f64) {
    match step.priority() {
        _ if step == Step::Renew => (0.0, 0.0),
        Priority::High => (0.0, 1.0),
        Priority::Normal => (NORMAL_RESERVE, 0.0),
        Priority::Low => (LOW_RESERVE, 0.0),
    }
}
