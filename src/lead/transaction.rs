//! Contents and timing of the leader's transactions.

use std::collections::BTreeMap;
use std::sync::Arc;

use prost::Message;

use super::leader::{LedgerVersion, SINGLE_ROW_KEY};
use super::state::LeaderState;
use super::tables::{BOUNDS, JOB, LEAD, LEARNED, LEDGER, PENDING, PHASE, RECORD, encode_phase};
use super::{Candidate, Heartbeat, LedgerEntry};
use crate::dispatch::Snapshot;
use crate::port::{Commit, RowKey};

/// Least time between two writes of the numbers of waiting jobs, in milliseconds.
const PENDING_INTERVAL_MS: u64 = 500;

/// Time between two writes of learned estimates, in milliseconds; a new leader starts with estimates of about this age.
const LEARNED_INTERVAL_MS: u64 = 3_000;

/// Most ended jobs whose rows one transaction removes; each takes three of the 100 rows that the store accepts in a
/// transaction.
const REMOVED_JOBS_MAX: usize = 25;

/// Most jobs that a transaction may write and still remove rows of ended jobs.
const WRITES_BESIDE_REMOVAL_MAX: usize = 5;

/// One transaction of the leader.
#[derive(Debug)]
pub(super) struct Transaction {
    pub commit: Commit,
    pub snapshot: Snapshot,
    /// Jobs whose rows are removed.
    pub removed_jobs: Vec<Arc<str>>,
    /// Whether the transaction releases leadership.
    pub releases_leadership: bool,
    /// When it was sent, in milliseconds.
    pub sent_at: u64,
}

/// Builds the leader's transactions and decides which rows are due.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    heartbeat_count: u64,
    heartbeat_due: u64,
    /// Numbers of waiting jobs as last written.
    written_pending: BTreeMap<Arc<str>, u64>,
    pending_due: u64,
    learned_due: u64,
}

impl TransactionBuilder {
    /// A builder for a leader that took over at `now` and has written nothing yet.
    pub fn new(now: u64) -> Self {
        Self {
            heartbeat_count: 0,
            heartbeat_due: 0,
            written_pending: BTreeMap::new(),
            pending_due: 0,
            learned_due: now + LEARNED_INTERVAL_MS,
        }
    }

    /// Makes the heartbeat and the numbers of waiting jobs due again after a transaction that failed or whose result is
    /// unknown.
    pub fn mark_failed(&mut self) {
        self.heartbeat_due = 0;
        self.written_pending.clear();
    }

    /// Next transaction, sent at `now`; `None` if there is nothing to write.
    pub fn build<R, O, E>(
        &mut self,
        candidate: &Candidate<R, O, E>,
        state: &LeaderState,
        ledger: &LedgerVersion,
        now: u64,
    ) -> Option<Transaction> {
        let mut snapshot = state.dispatcher.borrow_mut().snapshot();
        let hands_over = state.should_hand_over(candidate.stop.is_stopping());
        let releases_leadership = hands_over && snapshot.as_ref().is_none_or(Snapshot::has_only_bounds);
        if releases_leadership {
            snapshot = Some(state.dispatcher.borrow_mut().release(now));
        }
        let raises_fence = snapshot.as_ref().is_some_and(|snapshot| snapshot.raises_fence);
        let fence = ledger.fence + u64::from(raises_fence);
        let mut commit = Commit::default();
        // A follower that takes over expects the token of the ledger in the heartbeat.
        if now >= self.heartbeat_due || releases_leadership || raises_fence {
            self.heartbeat_count += 1;
            self.heartbeat_due = now + candidate.timing.heartbeat_interval_ms;
            let heartbeat = Heartbeat {
                holder: candidate.name.to_string(),
                fence,
                count: self.heartbeat_count,
                released: releases_leadership,
                millicores: candidate.timing.millicores,
                successor: state.successor.borrow().as_deref().unwrap_or_default().to_owned(),
                hint_address: candidate.hints.address().to_string(),
                overloaded: state.overload.get().is_overloaded(),
            };
            commit
                .put
                .push((RowKey::new(LEAD, SINGLE_ROW_KEY), heartbeat.encode_to_vec()));
        }
        if now >= self.pending_due {
            let counts = state.dispatcher.borrow().pending();
            if counts != self.written_pending {
                self.pending_due = now + PENDING_INTERVAL_MS;
                commit
                    .put
                    .push((RowKey::new(PENDING, SINGLE_ROW_KEY), encode_pending(&counts)));
                self.written_pending = counts;
            }
        }
        if now >= self.learned_due && !commit.put.is_empty() {
            self.learned_due = now + LEARNED_INTERVAL_MS;
            let learned = state.dispatcher.borrow().learned();
            commit
                .put
                .push((RowKey::new(LEARNED, SINGLE_ROW_KEY), learned.encode_to_vec()));
        }
        let snapshot = snapshot.unwrap_or_default();
        let mut removed_jobs = Vec::new();
        if snapshot.jobs.len() <= WRITES_BESIDE_REMOVAL_MAX {
            let mut jobs_to_remove = state.jobs_to_remove.borrow_mut();
            let count = jobs_to_remove.len().min(REMOVED_JOBS_MAX);
            removed_jobs.extend(jobs_to_remove.drain(..count));
        }
        if snapshot.is_empty() && commit.put.is_empty() && removed_jobs.is_empty() {
            return None;
        }
        add_snapshot(
            &mut commit,
            &snapshot,
            ledger.version,
            &candidate.ledger_entry(fence, state.on_store_clock(now)),
        );
        if let Some(bounds) = &snapshot.lease_bounds {
            let row = state
                .stored_bounds(bounds, snapshot.common_bound, fence)
                .encode_to_vec();
            commit.put.push((RowKey::new(BOUNDS, SINGLE_ROW_KEY), row));
        }
        for id in &removed_jobs {
            let rows = [JOB, PHASE, RECORD].map(|table| RowKey::new(table, Arc::clone(id)));
            commit.remove.extend(rows);
        }
        Some(Transaction {
            commit,
            snapshot,
            removed_jobs,
            releases_leadership,
            sent_at: now,
        })
    }
}

/// Adds the rows of a snapshot, and the ledger row with the expected version that makes the commit fail under another
/// leader.
fn add_snapshot(commit: &mut Commit, snapshot: &Snapshot, version: u64, entry: &LedgerEntry) {
    commit.expect.push((RowKey::new(LEDGER, SINGLE_ROW_KEY), version));
    commit
        .put
        .push((RowKey::new(LEDGER, SINGLE_ROW_KEY), entry.encode_to_vec()));
    for job in &snapshot.jobs {
        if let Some(submission) = &job.submission {
            let key = RowKey::new(JOB, Arc::clone(&job.id));
            commit.put.push((key, submission.encode_to_vec()));
        }
        if job.phase_changed {
            let phase = encode_phase(job.phase, &job.team);
            commit.put.push((RowKey::new(PHASE, Arc::clone(&job.id)), phase));
        }
        commit
            .put
            .push((RowKey::new(RECORD, Arc::clone(&job.id)), job.record.encode_to_vec()));
    }
}

/// Encodes the numbers of waiting jobs: a line with queue, tab and number for each queue.
fn encode_pending(counts: &BTreeMap<Arc<str>, u64>) -> Vec<u8> {
    let mut text = String::new();
    for (queue, count) in counts {
        text += &[queue, "\t", &count.to_string(), "\n"].concat();
    }
    text.into_bytes()
}
