//! Fixture: an in-memory store with partitions, change feeds and adjustable speed, in virtual time.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use yuccaridge::lead::{HintQueues, INTAKE};
use yuccaridge::port::{Changes, Commit, Page, Range, Row, RowKey, RowStore, StoreError};

/// Time of an answer and of a transaction on a store without extra load, in milliseconds; from the data sheets of the
/// users.
const ANSWER_MS: u64 = 4;
const TRANSACTION_MS: u64 = 3;

/// Backlog of a partition above which it declines transactions.
const BACKLOG_MAX: Duration = Duration::from_secs(1);

struct State {
    start: Instant,
    version: u64,
    rows: BTreeMap<RowKey, (Arc<str>, Row)>,
    /// When each partition has applied all its transactions.
    busy_until: BTreeMap<Arc<str>, Instant>,
    /// Factor on all times of the store; 1 is the usual speed.
    slowdown: u64,
    declined_commits: u64,
    /// Table for which the next transaction that writes to it panics.
    panic_table: Option<Arc<str>>,
    /// Table for which the next transaction that writes to it is applied late and not answered, and by how much.
    late_table: Option<(Arc<str>, Duration)>,
    /// Longest wait of a caller for the answer to a transaction.
    answer_wait: Duration,
    /// Additional delay of the answer to the next transaction.
    answer_delay: Duration,
    /// Additional delay of the answers to reads of partitions.
    read_delay: Duration,
    /// Tables for which the next request for changes fails because the history was discarded.
    history_gone: BTreeSet<Arc<str>>,
    /// Until when no transaction reaches the store, because there is no connection.
    unconnected_until: Instant,
    /// Until when the answers to transactions are lost.
    answers_lost_until: Instant,
    /// Table whose reads and feeds are not answered, and until when.
    hanging_table: Option<(Arc<str>, Instant)>,
    /// Until when change feeds deliver nothing.
    feeds_silent_until: Instant,
    /// Queue of received hints of each instance, by its address.
    hint_inboxes: BTreeMap<Arc<str>, flume::Sender<Arc<str>>>,
    /// Partitions for which all calls are declined.
    blocked_partitions: BTreeSet<Arc<str>>,
}

/// An in-memory store.
#[derive(Clone)]
pub struct MemoryStore {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
}

impl MemoryStore {
    pub fn new() -> Self {
        let state = State {
            start: Instant::now(),
            version: 1,
            rows: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            slowdown: 1,
            declined_commits: 0,
            panic_table: None,
            late_table: None,
            answer_wait: Duration::MAX,
            answer_delay: Duration::ZERO,
            read_delay: Duration::ZERO,
            history_gone: BTreeSet::new(),
            unconnected_until: Instant::now(),
            answers_lost_until: Instant::now(),
            hanging_table: None,
            feeds_silent_until: Instant::now(),
            hint_inboxes: BTreeMap::new(),
            blocked_partitions: BTreeSet::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            changed: Rc::new(Notify::new()),
        }
    }

    /// Makes the store `times` as slow as usual.
    pub fn set_slowdown(&self, times: u64) {
        self.state.borrow_mut().slowdown = times;
    }

    /// Makes the change feeds deliver nothing for `ms` milliseconds, then fail.
    pub fn silence_feeds(&self, ms: u64) {
        self.state.borrow_mut().feeds_silent_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Delivers the hints of an instance to their receivers without delay.
    pub fn deliver_hints(&self, address: &str, queues: HintQueues) {
        self.state
            .borrow_mut()
            .hint_inboxes
            .insert(Arc::from(address), queues.incoming);
        let store = self.clone();
        spawn_local(async move {
            while let Ok((to, key)) = queues.outgoing.recv_async().await {
                let inbox = store.state.borrow().hint_inboxes.get(&to).cloned();
                if let Some(inbox) = inbox {
                    inbox.try_send(key).expect("room for a hint");
                }
            }
        });
    }

    /// Delivers no more hints to the instances that have been started.
    pub fn lose_hints(&self) {
        self.state.borrow_mut().hint_inboxes.clear();
    }

    /// Makes callers wait at most `ms` milliseconds for the answer to a transaction.
    pub fn limit_answer_wait(&self, ms: u64) {
        self.state.borrow_mut().answer_wait = Duration::from_millis(ms);
    }

    /// Declines all calls that access a partition from now on.
    pub fn block_partition(&self, partition: &str) {
        self.state.borrow_mut().blocked_partitions.insert(Arc::from(partition));
    }

    /// Ends [`block_partition`](Self::block_partition).
    pub fn unblock_partition(&self, partition: &str) {
        self.state.borrow_mut().blocked_partitions.remove(partition);
    }

    /// Delays the answer to the next transaction, which is applied without that delay.
    pub fn delay_next_answer(&self, ms: u64) {
        self.state.borrow_mut().answer_delay = Duration::from_millis(ms);
    }

    /// Delays the answers to reads of partitions, which see the rows as of the time without that delay.
    pub fn delay_partition_reads(&self, ms: u64) {
        self.state.borrow_mut().read_delay = Duration::from_millis(ms);
    }

    /// Discards the history once: the next request for changes of the intake table fails.
    pub fn drop_history(&self) {
        self.drop_history_of(INTAKE);
    }

    /// The same for another table.
    pub fn drop_history_of(&self, table: &str) {
        self.state.borrow_mut().history_gone.insert(Arc::from(table));
    }

    /// Answers no reads and no requests for changes of a table for `ms` milliseconds, then fails them.
    pub fn hang_table(&self, table: &str, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        self.state.borrow_mut().hanging_table = Some((Arc::from(table), until));
    }

    /// Waits while a table hangs; returns whether it did.
    async fn hang(&self, table: &str) -> bool {
        let hanging = self.state.borrow().hanging_table.clone();
        let Some((_, until)) = hanging.filter(|(hanging, until)| **hanging == *table && *until > Instant::now()) else {
            return false;
        };
        sleep_until(until).await;
        true
    }

    /// Loses the answers to all transactions for a time; they are applied.
    pub fn lose_answers(&self, ms: u64) {
        self.state.borrow_mut().answers_lost_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Makes transactions wait for a connection for `ms` milliseconds.
    pub fn block_connections(&self, ms: u64) {
        self.state.borrow_mut().unconnected_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Makes the next transaction that writes to a table panic in its caller.
    pub fn panic_at_write(&self, table: &str) {
        self.state.borrow_mut().panic_table = Some(Arc::from(table));
    }

    /// Applies the next transaction that writes to a table `ms` later, if its condition still holds then, and never answers
    /// it.
    pub fn apply_next_write_late(&self, table: &str, ms: u64) {
        self.state.borrow_mut().late_table = Some((Arc::from(table), Duration::from_millis(ms)));
    }

    /// Takes the delay of a transaction that is applied late.
    fn take_delay(&self, commit: &Commit) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let (table, delay) = state.late_table.clone()?;
        commit.put.iter().find(|(key, _)| key.table == table)?;
        state.late_table = None;
        Some(delay)
    }

    /// Number of transactions that were declined because of the backlog.
    pub fn declined_commits(&self) -> u64 {
        self.state.borrow().declined_commits
    }

    /// Writes a row without delay and condition, as writers outside the system do.
    pub fn put(&self, table: &str, key: &str, value: Vec<u8>) {
        let commit = Commit {
            put: vec![(RowKey::new(table, key), value)],
            ..Commit::default()
        };
        self.apply(&commit).expect("no condition");
    }

    /// Removes a row without delay and condition.
    pub fn remove(&self, table: &str, key: &str) {
        let commit = Commit {
            remove: vec![RowKey::new(table, key)],
            ..Commit::default()
        };
        self.apply(&commit).expect("no condition");
    }

    /// Value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        state.rows.get(&RowKey::new(table, key))?.1.value.clone()
    }

    /// Number of rows of a table, in all partitions.
    pub fn count(&self, table: &str) -> usize {
        let state = self.state.borrow();
        let rows = state.rows.iter();
        rows.filter(|(key, (_, row))| *key.table == *table && row.value.is_some())
            .count()
    }

    async fn answer(&self) {
        let slowdown = self.state.borrow().slowdown;
        sleep(Duration::from_millis(ANSWER_MS * slowdown)).await;
    }

    fn apply(&self, commit: &Commit) -> Result<u64, StoreError> {
        let mut state = self.state.borrow_mut();
        let found = |state: &State, key: &RowKey| {
            state
                .rows
                .get(key)
                .filter(|(_, row)| row.value.is_some())
                .map_or(0, |(_, row)| row.version)
        };
        let present: Vec<(RowKey, u64)> = commit
            .expect
            .iter()
            .map(|(key, _)| (key.clone(), found(&state, key)))
            .collect();
        if present != commit.expect {
            return Err(StoreError::Conflict(present));
        }
        state.version += 1;
        let version = state.version;
        for (key, value) in &commit.put {
            let row = Row {
                key: Arc::clone(&key.key),
                value: Some(value.clone()),
                version,
            };
            state.rows.insert(key.clone(), (Arc::clone(&commit.partition), row));
        }
        for key in &commit.remove {
            let row = Row {
                key: Arc::clone(&key.key),
                value: None,
                version,
            };
            state.rows.insert(key.clone(), (Arc::clone(&commit.partition), row));
        }
        drop(state);
        self.changed.notify_waiters();
        Ok(version)
    }

    /// Rows of a range as of now.
    fn page(&self, range: &Range) -> Result<Page, StoreError> {
        let state = self.state.borrow();
        if state.blocked_partitions.contains(&range.partition) {
            return Err(StoreError::Declined(503));
        }
        let mut rows = Vec::new();
        for (key, (partition, row)) in &state.rows {
            let inside = key.key >= range.from && (range.to.is_empty() || key.key < range.to);
            if key.table == range.table && *partition == range.partition && inside && row.value.is_some() {
                rows.push(row.clone());
            }
        }
        Ok(Page {
            rows,
            more: false,
            version: state.version,
            clock_ms: state.start.elapsed().as_millis() as u64,
        })
    }

    fn clock_ms(&self) -> u64 {
        self.state.borrow().start.elapsed().as_millis() as u64
    }
}

impl MemoryStore {
    /// Waits until transactions reach the store.
    async fn connect(&self) {
        let unconnected_until = self.state.borrow().unconnected_until;
        if unconnected_until > Instant::now() {
            sleep_until(unconnected_until).await;
        }
    }

    /// Carries out a transaction that has reached the store.
    async fn transact(&self, commit: &Commit) -> Result<u64, StoreError> {
        if let Some(delay) = self.take_delay(commit) {
            let (store, commit) = (self.clone(), commit.clone());
            spawn_local(async move {
                sleep(delay).await;
                // The caller never learns of a conflict, either.
                let _ = store.apply(&commit);
            });
            std::future::pending::<()>().await;
        }
        let (due, answer_delay) = {
            let mut state = self.state.borrow_mut();
            if state.blocked_partitions.contains(&commit.partition) {
                return Err(StoreError::Declined(503));
            }
            let panic_table = state.panic_table.clone();
            if commit
                .put
                .iter()
                .any(|(key, _)| Some(&key.table) == panic_table.as_ref())
            {
                state.panic_table = None;
                panic!("a transaction of the test that panics");
            }
            let now = Instant::now();
            let span = Duration::from_millis(TRANSACTION_MS * state.slowdown);
            let busy_until = state.busy_until.entry(Arc::clone(&commit.partition)).or_insert(now);
            if *busy_until > now + BACKLOG_MAX {
                state.declined_commits += 1;
                return Err(StoreError::Declined(429));
            }
            *busy_until = (*busy_until).max(now) + span;
            let due = *busy_until;
            (due, std::mem::take(&mut state.answer_delay))
        };
        sleep_until(due).await;
        let done = self.apply(commit);
        sleep(answer_delay).await;
        self.answer().await;
        if Instant::now() < self.state.borrow().answers_lost_until {
            return Err(StoreError::Unknown("the answer was lost".to_owned()));
        }
        done
    }
}

impl RowStore for MemoryStore {
    async fn commit(&self, commit: &Commit) -> Result<u64, StoreError> {
        self.connect().await;
        self.transact(commit).await
    }

    async fn commit_within(&self, commit: &Commit, time_limit: Duration) -> Result<u64, StoreError> {
        let end = Instant::now() + time_limit;
        if timeout_at(end, self.connect()).await.is_err() {
            return Err(StoreError::Declined(0));
        }
        let answer_wait = self.state.borrow().answer_wait.min(end - Instant::now());
        let answer = timeout(answer_wait, self.transact(commit)).await;
        answer.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned())))
    }

    async fn read(&self, range: &Range) -> Result<Page, StoreError> {
        if self.hang(&range.table).await {
            return Err(StoreError::Unknown("the table hung".to_owned()));
        }
        self.answer().await;
        let page = self.page(range);
        let read_delay = self.state.borrow().read_delay;
        if !range.partition.is_empty() {
            sleep(read_delay).await;
        }
        page
    }

    async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Changes, StoreError> {
        let end = Instant::now() + wait;
        if self.state.borrow_mut().history_gone.remove(table) {
            return Err(StoreError::HistoryGone);
        }
        loop {
            if self.hang(table).await {
                return Err(StoreError::Unknown("the table hung".to_owned()));
            }
            let feeds_silent_until = self.state.borrow().feeds_silent_until;
            if feeds_silent_until > Instant::now() {
                sleep_until(feeds_silent_until).await;
                return Err(StoreError::Unknown("the feed was cut".to_owned()));
            }
            let changed = self.changed.notified();
            let (rows, version) = {
                let state = self.state.borrow();
                let rows = state.rows.iter();
                let mut rows: Vec<Row> = rows
                    .filter(|(key, (_, row))| *key.table == *table && row.version > after)
                    .map(|(_, (_, row))| row.clone())
                    .collect();
                rows.sort_by_key(|row| row.version);
                (rows, state.version)
            };
            if rows.is_empty() && timeout_at(end, changed).await.is_ok() {
                continue;
            }
            self.answer().await;
            return Ok(Changes {
                rows,
                version,
                clock_ms: self.clock_ms(),
            });
        }
    }
}
