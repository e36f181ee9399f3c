//! What the leader writes, and when.

use std::collections::BTreeMap;
use std::sync::Arc;

use prost::Message;

use super::leader::{ONLY, Seat};
use super::state::Progress;
use super::tables::{JOB, LEAD, LEARNED, LEDGER, PENDING, PHASE, RECORD, encode_phase};
use super::{Candidate, Heartbeat};
use crate::dispatch::Snapshot;
use crate::port::{Commit, RowKey};

/// Least time between two writes of the number of waiting jobs, in milliseconds.
const PENDING_MS: u64 = 500;

/// Time between two writes of what was learned, in milliseconds; a new leader starts with figures of about this age.
const LEARNED_MS: u64 = 3_000;

/// Most ended jobs whose rows one transaction removes; each takes three of the 100 rows that the store accepts.
const LEAVING_MAX: usize = 25;

/// Most jobs that such a transaction writes besides.
const WRITTEN_MAX: usize = 5;

/// One transaction of the leader.
#[derive(Debug)]
pub(super) struct Write {
    pub commit: Commit,
    pub snapshot: Snapshot,
    /// Jobs whose rows it removes.
    pub leaving: Vec<Arc<str>>,
    /// It gives the lead up.
    pub releases: bool,
}

/// What was written last, and when the next of each kind is due.
#[derive(Debug)]
pub(super) struct Writes {
    beats: u64,
    beat_due: u64,
    pending: BTreeMap<Arc<str>, u64>,
    pending_due: u64,
    learned_due: u64,
}

impl Writes {
    /// Nothing was written yet by a leader that begins at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            beats: 0,
            beat_due: 0,
            pending: BTreeMap::new(),
            pending_due: 0,
            learned_due: now + LEARNED_MS,
        }
    }

    /// A transaction was not carried out, or is not known to be.
    pub fn failed(&mut self) {
        self.beat_due = 0;
        self.pending.clear();
    }

    /// Next transaction; `None` if there is nothing to write.
    pub fn compose<R, O, E>(
        &mut self,
        candidate: &Candidate<R, O, E>,
        progress: &Progress,
        seat: &Seat,
        now: u64,
    ) -> Option<Write> {
        let snapshot = progress.dispatcher.borrow_mut().snapshot();
        let mut commit = Commit::default();
        let releases = progress.gives_way(candidate.stop.is_stopping()) && snapshot.is_none();
        if now >= self.beat_due || releases {
            self.beats += 1;
            self.beat_due = now + candidate.timing.heartbeat_interval_ms;
            let beat = Heartbeat {
                holder: candidate.name.to_string(),
                fence: seat.fence,
                count: self.beats,
                released: releases,
                millicores: candidate.timing.millicores,
                successor: progress.successor.borrow().as_deref().unwrap_or_default().to_owned(),
                hints: candidate.hints.address().to_string(),
                strained: progress.strain.get().is_strained(),
            };
            commit.put.push((RowKey::new(LEAD, ONLY), beat.encode_to_vec()));
        }
        if now >= self.pending_due {
            let counts = progress.dispatcher.borrow().pending();
            if counts != self.pending {
                self.pending_due = now + PENDING_MS;
                commit.put.push((RowKey::new(PENDING, ONLY), encode_pending(&counts)));
                self.pending = counts;
            }
        }
        if now >= self.learned_due && !commit.put.is_empty() {
            self.learned_due = now + LEARNED_MS;
            let learned = progress.dispatcher.borrow().learned();
            commit.put.push((RowKey::new(LEARNED, ONLY), learned.encode_to_vec()));
        }
        let snapshot = snapshot.unwrap_or_default();
        let mut leaving = Vec::new();
        if snapshot.jobs.len() <= WRITTEN_MAX {
            let mut all = progress.leaving.borrow_mut();
            let count = all.len().min(LEAVING_MAX);
            leaving.extend(all.drain(..count));
        }
        if snapshot.is_empty() && commit.put.is_empty() && leaving.is_empty() {
            return None;
        }
        fill(&mut commit, &snapshot, seat, candidate);
        for id in &leaving {
            let rows = [JOB, PHASE, RECORD].map(|table| RowKey::new(table, Arc::clone(id)));
            commit.remove.extend(rows);
        }
        Some(Write {
            commit,
            snapshot,
            leaving,
            releases,
        })
    }
}

/// Adds the rows of a snapshot and the condition that this leader still leads.
fn fill<R, O, E>(commit: &mut Commit, snapshot: &Snapshot, seat: &Seat, candidate: &Candidate<R, O, E>) {
    let entry = candidate.ledger(seat.fence);
    commit.expect.push((RowKey::new(LEDGER, ONLY), seat.version));
    commit.put.push((RowKey::new(LEDGER, ONLY), entry.encode_to_vec()));
    for write in &snapshot.jobs {
        if let Some(submission) = &write.submission {
            let key = RowKey::new(JOB, Arc::clone(&write.id));
            commit.put.push((key, submission.encode_to_vec()));
        }
        let phase = encode_phase(write.phase, &write.team);
        commit.put.push((RowKey::new(PHASE, Arc::clone(&write.id)), phase));
        commit
            .put
            .push((RowKey::new(RECORD, Arc::clone(&write.id)), write.record.encode_to_vec()));
    }
}

/// Content of the row that holds the number of waiting jobs.
fn encode_pending(counts: &BTreeMap<Arc<str>, u64>) -> Vec<u8> {
    let mut text = String::new();
    for (queue, count) in counts {
        text += &[queue, "\t", &count.to_string(), "\n"].concat();
    }
    text.into_bytes()
}
