//! Writes of many requests in one transaction.
//!
//! The write limit counts transactions, so a wave of requests fits under it only if they share transactions. A thread
//! whose write finds no other under way sends it at once. Those that arrive meanwhile wait, and the first of them then
//! sends all that can go together. A write that does not pass its checks is taken out of the transaction, and the others
//! are sent again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::platform::{Check, Put, Step, Table, TableError, Txn};
use crate::row::{OpIds, commit};

/// Writes in one transaction at most.
const WRITES_MAX: usize = 32;
/// Bytes of the rows in one transaction at most, unless a single write has more.
const BYTES_MAX: usize = 512 * 1024;

/// The write of one request.
#[derive(Debug)]
pub(super) struct Write {
    pub step: Step,
    pub checks: Vec<Check>,
    pub puts: Vec<Put>,
}

impl Write {
    fn bytes(&self) -> usize {
        let values = self.puts.iter().filter_map(|put| put.value.as_ref());
        values.map(|value| value.to_string().len()).sum()
    }

    /// Whether both may be in one transaction.
    fn fits(&self, other: &Self) -> bool {
        let agree = |check: &Check| {
            other
                .checks
                .iter()
                .all(|known| known.key != check.key || known == check)
        };
        let differ = |put: &Put| other.puts.iter().all(|known| known.key != put.key);
        self.step == other.step && self.checks.iter().all(agree) && self.puts.iter().all(differ)
    }
}

enum Word {
    /// The receiver's write is the first that waits: it is to send the next transaction.
    Lead,
    Done(Result<(), TableError>),
}

struct Waiting {
    write: Write,
    reply: flume::Sender<Word>,
}

fn tell(writes: &[Waiting], result: &Result<(), TableError>) {
    for waiting in writes {
        // The receiver waits for exactly this; if it is gone, nobody needs the result.
        let _ = waiting.reply.send(Word::Done(result.clone()));
    }
}

#[derive(Default)]
struct State {
    queue: VecDeque<Waiting>,
    leading: bool,
}

/// The writes of one controller.
pub(super) struct Group {
    table: Arc<dyn Table>,
    ops: Arc<OpIds>,
    state: Mutex<State>,
}

impl std::fmt::Debug for Group {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Group")
            .field("waiting", &self.waiting())
            .finish_non_exhaustive()
    }
}

/// Passes the lead on when it is dropped, also by a panic.
struct Lead<'a>(&'a Group);

impl Drop for Lead<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.leading = false;
        while let Some(first) = state.queue.front() {
            if first.reply.send(Word::Lead).is_ok() {
                state.leading = true;
                return;
            }
            state.queue.pop_front();
        }
    }
}

impl Group {
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

    /// Writes that wait until the one under way is done.
    pub fn waiting(&self) -> usize {
        self.state().queue.len()
    }

    /// Carries a write out, alone or together with others.
    pub fn commit(&self, write: Write) -> Result<(), TableError> {
        let (reply, words) = flume::bounded(2);
        let lost = || TableError::Unknown("the thread that sent the write stopped".to_owned());
        if !self.enqueue(Waiting { write, reply }) {
            match words.recv() {
                Ok(Word::Lead) => {}
                Ok(Word::Done(result)) => return result,
                Err(_) => return Err(lost()),
            }
        }
        let lead = Lead(self);
        self.send(self.take());
        drop(lead);
        match words.try_recv() {
            Ok(Word::Done(result)) => result,
            _ => Err(lost()),
        }
    }

    /// Whether the caller is to send the next transaction.
    fn enqueue(&self, waiting: Waiting) -> bool {
        let mut state = self.state();
        state.queue.push_back(waiting);
        !std::mem::replace(&mut state.leading, true)
    }

    /// The first writes that can go together.
    fn take(&self) -> Vec<Waiting> {
        let mut state = self.state();
        let mut taken: Vec<Waiting> = Vec::new();
        let mut bytes = 0;
        while let Some(next) = state.queue.front() {
            bytes += next.write.bytes();
            let full = taken.len() == WRITES_MAX || bytes > BYTES_MAX;
            let fits = taken.iter().all(|known| next.write.fits(&known.write));
            if !taken.is_empty() && (full || !fits) {
                break;
            }
            taken.extend(state.queue.pop_front());
        }
        taken
    }

    fn send(&self, mut writes: Vec<Waiting>) {
        while let Some(first) = writes.first() {
            let mut txn = Txn {
                step: first.write.step,
                op: self.ops.next(),
                checks: Vec::new(),
                puts: Vec::new(),
            };
            for waiting in &writes {
                for check in &waiting.write.checks {
                    if !txn.checks.contains(check) {
                        txn.checks.push(check.clone());
                    }
                }
                txn.puts.extend_from_slice(&waiting.write.puts);
            }
            let result = commit(&*self.table, &txn).map(|_| ());
            let Err(TableError::Conflict { key, .. }) = &result else {
                return tell(&writes, &result);
            };
            let depends = |waiting: &Waiting| waiting.write.checks.iter().any(|check| check.key == *key);
            let (failed, left): (Vec<_>, Vec<_>) = writes.into_iter().partition(depends);
            let none = failed.is_empty();
            tell(&failed, &result);
            if none {
                return tell(&left, &result);
            }
            writes = left;
        }
    }
}
