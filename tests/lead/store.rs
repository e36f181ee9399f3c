//! Fixture: a store in memory with partitions, a feed and a speed, in virtual time.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use yuccaridge::lead::HintQueues;
use yuccaridge::port::{Changes, Commit, Page, Range, Row, RowKey, Rows, StoreError};

/// Time of an answer and of a transaction on a calm day, in milliseconds; the users' sheets.
const ANSWER_MS: u64 = 4;
const TRANSACTION_MS: u64 = 3;

/// Backlog of a partition from which it declines transactions.
const BACKLOG: Duration = Duration::from_secs(1);

struct State {
    start: Instant,
    version: u64,
    rows: BTreeMap<RowKey, (Arc<str>, Row)>,
    /// When each partition has carried out what it was given.
    busy: BTreeMap<Arc<str>, Instant>,
    /// How many times as slow as usual it is.
    slow: u64,
    declined: u64,
    /// Until when its feeds are silent.
    mute_until: Instant,
    /// Where the hints of each instance arrive, by its address.
    inboxes: BTreeMap<Arc<str>, flume::Sender<Arc<str>>>,
    /// Partitions that it withholds.
    withheld: BTreeSet<Arc<str>>,
}

/// A store in memory.
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
            busy: BTreeMap::new(),
            slow: 1,
            declined: 0,
            mute_until: Instant::now(),
            inboxes: BTreeMap::new(),
            withheld: BTreeSet::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            changed: Rc::new(Notify::new()),
        }
    }

    /// Makes it `times` as slow as usual.
    pub fn slow_down(&self, times: u64) {
        self.state.borrow_mut().slow = times;
    }

    /// Silences the feeds for a time.
    pub fn mute(&self, ms: u64) {
        self.state.borrow_mut().mute_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Carries hints between instances, at once.
    pub fn carry(&self, address: &str, queues: HintQueues) {
        self.state
            .borrow_mut()
            .inboxes
            .insert(Arc::from(address), queues.incoming);
        let store = self.clone();
        spawn_local(async move {
            while let Ok((to, key)) = queues.outgoing.recv_async().await {
                let inbox = store.state.borrow().inboxes.get(&to).cloned();
                if let Some(inbox) = inbox {
                    inbox.try_send(key).expect("room for a hint");
                }
            }
        });
    }

    /// Declines all calls about a partition from now on.
    pub fn withhold(&self, partition: &str) {
        self.state.borrow_mut().withheld.insert(Arc::from(partition));
    }

    /// Transactions that were declined for want of time.
    pub fn declined(&self) -> u64 {
        self.state.borrow().declined
    }

    /// Writes a row at once, as others than the system do.
    pub fn put(&self, table: &str, key: &str, value: Vec<u8>) {
        let commit = Commit {
            put: vec![(RowKey::new(table, key), value)],
            ..Commit::default()
        };
        self.apply(&commit).expect("no condition");
    }

    /// Content of a row of the unnamed partition.
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
        let slow = self.state.borrow().slow;
        sleep(Duration::from_millis(ANSWER_MS * slow)).await;
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

    fn clock_ms(&self) -> u64 {
        self.state.borrow().start.elapsed().as_millis() as u64
    }
}

impl Rows for MemoryStore {
    async fn commit(&self, commit: &Commit) -> Result<u64, StoreError> {
        let due = {
            let mut state = self.state.borrow_mut();
            if state.withheld.contains(&commit.partition) {
                return Err(StoreError::Declined(503));
            }
            let now = Instant::now();
            let span = Duration::from_millis(TRANSACTION_MS * state.slow);
            let busy = state.busy.entry(Arc::clone(&commit.partition)).or_insert(now);
            if *busy > now + BACKLOG {
                state.declined += 1;
                return Err(StoreError::Declined(429));
            }
            *busy = (*busy).max(now) + span;
            *busy
        };
        sleep_until(due).await;
        let done = self.apply(commit);
        self.answer().await;
        done
    }

    async fn read(&self, range: &Range) -> Result<Page, StoreError> {
        self.answer().await;
        let state = self.state.borrow();
        if state.withheld.contains(&range.partition) {
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

    async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Changes, StoreError> {
        let end = Instant::now() + wait;
        loop {
            let mute_until = self.state.borrow().mute_until;
            if mute_until > Instant::now() {
                sleep_until(mute_until).await;
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
