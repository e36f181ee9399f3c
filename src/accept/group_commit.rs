//! Group commit: the writes of many requests in one transaction.
//!
//! The write limit counts transactions, so a burst of requests stays within it only if they share transactions. A
//! thread whose write finds no transaction in progress sends it at once. Writes that arrive meanwhile are queued, and
//! the thread of the first one then leads: it sends all compatible ones together. A write whose checks fail is removed
//! from the transaction, and the others are sent again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::platform::{Check, Put, Step, Table, TableError, Txn};
use crate::row::{OpIds, commit};

/// Maximum number of writes in one transaction.
const GROUP_WRITES_MAX: usize = 32;
/// Maximum size of the rows in one transaction, unless a single write is larger.
const GROUP_BYTES_MAX: usize = 512 * 1024;

/// The write of one request.
#[derive(Debug)]
pub(super) struct WriteRequest {
    pub step: Step,
    pub checks: Vec<Check>,
    pub puts: Vec<Put>,
}

impl WriteRequest {
    fn bytes(&self) -> usize {
        let values = self.puts.iter().filter_map(|put| put.value.as_ref());
        values.map(|value| value.to_string().len()).sum()
    }

    /// Whether both can be in one transaction.
    fn is_compatible(&self, other: &Self) -> bool {
        let same_version = |check: &Check| {
            other
                .checks
                .iter()
                .all(|existing| existing.key != check.key || existing == check)
        };
        let distinct_key = |put: &Put| other.puts.iter().all(|existing| existing.key != put.key);
        self.step == other.step && self.checks.iter().all(same_version) && self.puts.iter().all(distinct_key)
    }
}

/// Message to the thread of a queued write.
enum Message {
    /// The receiver's write is the first in the queue, so it sends the next transaction.
    BecomeLeader,
    Done(Result<(), TableError>),
}

struct QueuedWrite {
    write: WriteRequest,
    reply: flume::Sender<Message>,
}

fn send_result(writes: &[QueuedWrite], result: &Result<(), TableError>) {
    for queued in writes {
        // Sending fails only if the receiver is gone, and then nobody needs the result.
        let _ = queued.reply.send(Message::Done(result.clone()));
    }
}

#[derive(Default)]
struct State {
    queue: VecDeque<QueuedWrite>,
    has_leader: bool,
}

/// Queue of the writes of one controller.
pub(super) struct GroupCommit {
    table: Arc<dyn Table>,
    ops: Arc<OpIds>,
    state: Mutex<State>,
}

impl std::fmt::Debug for GroupCommit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupCommit")
            .field("waiting", &self.waiting())
            .finish_non_exhaustive()
    }
}

/// Makes the thread of the next queued write the leader when dropped, also by a panic.
struct Leader<'a>(&'a GroupCommit);

impl Drop for Leader<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.has_leader = false;
        while let Some(first) = state.queue.front() {
            if first.reply.send(Message::BecomeLeader).is_ok() {
                state.has_leader = true;
                return;
            }
            state.queue.pop_front();
        }
    }
}

impl GroupCommit {
    pub fn new(table: Arc<dyn Table>, ops: Arc<OpIds>) -> Self {
        Self {
            table,
            ops,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of writes that wait for the transaction in progress.
    pub fn waiting(&self) -> usize {
        self.state().queue.len()
    }

    /// Commits a write, alone or together with others.
    pub fn commit(&self, write: WriteRequest) -> Result<(), TableError> {
        let (reply, messages) = flume::bounded(2);
        let leader_failed = || TableError::Unknown("the thread that sent the transaction has failed".to_owned());
        if !self.enqueue(QueuedWrite { write, reply }) {
            match messages.recv() {
                Ok(Message::BecomeLeader) => {}
                Ok(Message::Done(result)) => return result,
                Err(_) => return Err(leader_failed()),
            }
        }
        let leader = Leader(self);
        self.commit_group(self.take_group());
        drop(leader);
        match messages.try_recv() {
            Ok(Message::Done(result)) => result,
            _ => Err(leader_failed()),
        }
    }

    /// Queues a write and returns whether the caller is the leader.
    fn enqueue(&self, queued: QueuedWrite) -> bool {
        let mut state = self.state();
        state.queue.push_back(queued);
        !std::mem::replace(&mut state.has_leader, true)
    }

    /// Takes the first writes of the queue that fit one transaction.
    fn take_group(&self) -> Vec<QueuedWrite> {
        let mut state = self.state();
        let mut group: Vec<QueuedWrite> = Vec::new();
        let mut bytes = 0;
        while let Some(next) = state.queue.front() {
            bytes += next.write.bytes();
            let is_full = group.len() == GROUP_WRITES_MAX || bytes > GROUP_BYTES_MAX;
            let all_compatible = group.iter().all(|existing| next.write.is_compatible(&existing.write));
            if !group.is_empty() && (is_full || !all_compatible) {
                break;
            }
            group.extend(state.queue.pop_front());
        }
        group
    }

    fn commit_group(&self, mut writes: Vec<QueuedWrite>) {
        while let Some(first) = writes.first() {
            let mut txn = Txn {
                step: first.write.step,
                op: self.ops.next(),
                checks: Vec::new(),
                puts: Vec::new(),
            };
            for queued in &writes {
                for check in &queued.write.checks {
                    if !txn.checks.contains(check) {
                        txn.checks.push(check.clone());
                    }
                }
                txn.puts.extend_from_slice(&queued.write.puts);
            }
            let result = commit(&*self.table, &txn).map(|_| ());
            let Err(TableError::Conflict { key, .. }) = &result else {
                return send_result(&writes, &result);
            };
            let has_check = |queued: &QueuedWrite| queued.write.checks.iter().any(|check| check.key == *key);
            let (failed, remaining): (Vec<_>, Vec<_>) = writes.into_iter().partition(has_check);
            let no_match = failed.is_empty();
            send_result(&failed, &result);
            if no_match {
                return send_result(&remaining, &result);
            }
            writes = remaining;
        }
    }
}
