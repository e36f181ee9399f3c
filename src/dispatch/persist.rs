//! Snapshots to store, and figures that pass from one leader to the next.

use std::collections::BTreeMap;
use std::sync::Arc;

use prost::Message;

use super::{
    Dispatcher, Effect, JobWrite, Learned, LearnedKind, LearnedSpeed, LearnedWork, MemberState, Snapshot,
    SpeedEstimate, WorkStats,
};
use crate::graph::Phase;

/// Most rows of jobs in one transaction. A transaction may contain 100, among them up to five others.
const ROWS_PER_COMMIT: usize = 90;

/// Most rows that one job takes: submission, record and phase.
const ROWS_PER_JOB: usize = 3;

/// Size of the submissions and records in one transaction from which no further job is added, in bytes. A transaction may
/// contain 1 MB in Base64, and the two rows of the last job may have 64 KiB each.
const JOB_BYTES_PER_COMMIT: usize = 256 * 1024;

/// Size that what has been learned may reach with the kinds of tasks, in bytes. A row may have 64 KiB in Base64.
const LEARNED_BYTES_MAX: usize = 40 * 1024;

/// Bound on the tag and length of an entry, in bytes.
const ENTRY_BYTES: usize = 8;

impl Dispatcher {
    /// Next changes to store, up to the limit of a transaction; `None` if there are none.
    pub fn snapshot(&mut self) -> Option<Snapshot> {
        let mut snapshot = Snapshot::default();
        let (mut rows, mut bytes) = (0, 0);
        while rows + ROWS_PER_JOB <= ROWS_PER_COMMIT && bytes < JOB_BYTES_PER_COMMIT {
            let Some((position, id)) = self.dirty.pop_first() else {
                break;
            };
            let Some(job) = self.jobs.get(&id) else { continue };
            let write = JobWrite {
                submission: (!job.submission_stored).then(|| job.submission.clone()),
                record: job.record(),
                phase: job.phase,
                phase_changed: job.stored_phase != Some(job.phase),
                position,
                team: job.submission.team.clone(),
                id,
            };
            rows += 1 + usize::from(write.phase_changed) + usize::from(write.submission.is_some());
            bytes += write.record.encoded_len();
            bytes += write.submission.as_ref().map_or(0, Message::encoded_len);
            snapshot.jobs.push(write);
        }
        let (ready, waiting) = std::mem::take(&mut self.starts)
            .into_iter()
            .partition(|start| !self.dirty.contains(&start.job));
        snapshot.starts = ready;
        self.starts = waiting;
        let stored_up_to = self.dirty.start();
        for (name, endpoint) in &self.endpoints {
            if let Some(end) = endpoint.storable_end(stored_up_to) {
                snapshot.last_ends.push((Arc::clone(name), endpoint.entry.born, end));
            }
        }
        snapshot.raises_fence = self.endpoints.values().any(|endpoint| endpoint.fence.is_none());
        let (silent, draining) = (self.wanted_lease_bounds(), self.wanted_drain_bounds());
        snapshot.lease_bounds = self.lease_bounds.changed(silent, &draining);
        if snapshot.is_empty() {
            return None;
        }
        Some(snapshot)
    }

    /// Applies the successful commit of a snapshot: releases its starts and marks its jobs and ends as stored.
    pub fn stored(&mut self, snapshot: Snapshot, now: u64) {
        if snapshot.raises_fence {
            self.raise_fence(self.fence + 1, now);
            // The next leader accepts only bounds that were stored with the last token.
            self.lease_bounds.store_again();
        }
        if let Some(bounds) = snapshot.lease_bounds {
            self.lease_bounds.set_stored(bounds);
            if snapshot.common_bound.is_none() {
                self.lease_bounds.release_replaced();
            }
        }
        for start in snapshot.starts {
            let Some(job) = self.jobs.get_mut(&start.job) else {
                continue;
            };
            let unit = &mut job.units[start.unit];
            let Some(member) = unit.members.get_mut(start.member) else {
                continue;
            };
            if unit.run != start.run || member.state != MemberState::Planned {
                continue;
            }
            member.state = MemberState::Sent {
                tries: 1,
                resend_at: now + self.tuning.resend_ms,
            };
            // The lease counts from here. Otherwise an idle endpoint would count as expired until the order is sent.
            if let Some(endpoint) = self.endpoints.get_mut(&start.endpoint) {
                endpoint.extend_leases(&self.tuning, now, self.tuning.start_lease_ms);
            }
            self.effects.push(Effect::Start(start));
        }
        for (name, born, seen) in snapshot.last_ends {
            if let Some(endpoint) = self
                .endpoints
                .get_mut(&name)
                .filter(|endpoint| endpoint.entry.born == born)
            {
                endpoint.ends_stored(seen);
            }
        }
        for write in snapshot.jobs {
            let Some(job) = self.jobs.get_mut(&write.id) else {
                continue;
            };
            job.submission_stored |= write.submission.is_some();
            job.stored_phase = Some(write.phase);
            job.end_stored |= write.phase.is_final();
            self.remove_if_settled(&write.id);
        }
    }

    /// Applies the commit of a snapshot that has certainly failed: its changes become part of the next one.
    pub fn store_declined(&mut self, snapshot: Snapshot) {
        if snapshot.common_bound.is_some() {
            self.lease_bounds.release_declined();
        }
        self.keep_changes(snapshot);
    }

    /// The same for a commit that may have been applied, or may still be.
    pub fn store_failed(&mut self, snapshot: Snapshot) {
        if snapshot.common_bound.is_some() {
            self.lease_bounds.release_failed();
        }
        self.keep_changes(snapshot);
    }

    fn keep_changes(&mut self, snapshot: Snapshot) {
        if snapshot.lease_bounds.is_some() || snapshot.raises_fence {
            self.lease_bounds.store_failed();
        }
        for write in snapshot.jobs {
            self.dirty.restore(write.id, write.position);
        }
        for start in snapshot.starts {
            self.dirty.insert(Arc::clone(&start.job));
            self.starts.push(start);
        }
    }

    /// Learned speeds and work estimates, to store.
    pub fn learned(&self) -> Learned {
        let mut learned = Learned::default();
        for (name, endpoint) in &self.endpoints {
            if endpoint.speed_estimate.total_weight <= 0.0 || !endpoint.listed {
                continue;
            }
            learned.speeds.push(LearnedSpeed {
                endpoint: name.to_string(),
                born: endpoint.entry.born,
                log_speed: endpoint.speed_estimate.log_speed as f32,
                total_weight: endpoint.speed_estimate.total_weight as f32,
            });
        }
        for (queue, work) in self.work_estimates.all() {
            learned.works.push(LearnedWork {
                queue: queue.to_string(),
                count: work.count,
                sum: work.sum,
                squares: work.squares,
                errors: work.errors,
            });
        }
        let mut room = LEARNED_BYTES_MAX.saturating_sub(learned.encoded_len());
        let mut kinds: Vec<_> = self.interference.kinds().iter().collect();
        kinds.sort_by(|(_, left), (_, right)| right.total.weight.total_cmp(&left.total.weight));
        for (kind, stats) in kinds {
            let kind = LearnedKind::new(kind, stats);
            let size = kind.encoded_len() + ENTRY_BYTES;
            if size > room {
                continue;
            }
            room -= size;
            learned.kinds.push(kind);
        }
        learned
    }

    /// Adopts what a former leader has learned; has to be called before any endpoint is added.
    pub fn restore(&mut self, learned: &Learned) {
        for speed_estimate in learned.speeds.iter().filter(|speed| speed.is_plausible()) {
            let key = (Arc::from(&*speed_estimate.endpoint), speed_estimate.born);
            let speed_estimate = SpeedEstimate {
                log_speed: f64::from(speed_estimate.log_speed),
                total_weight: f64::from(speed_estimate.total_weight),
            };
            self.restored_speeds.insert(key, speed_estimate);
        }
        for work in learned.works.iter().filter(|work| work.is_plausible()) {
            let sums = WorkStats {
                count: work.count,
                sum: work.sum,
                squares: work.squares,
                errors: work.errors,
            };
            self.work_estimates.restore(&work.queue, sums);
        }
        for kind in &learned.kinds {
            self.interference
                .restore(&Arc::from(&*kind.kind), kind.stats(), self.took_over_at);
        }
    }

    /// Number of jobs of each queue that have not started.
    pub fn pending(&self) -> BTreeMap<Arc<str>, u64> {
        let mut pending: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase == Phase::Queued {
                *pending.entry(Arc::from(&*job.submission.queue)).or_default() += 1;
            }
        }
        pending
    }
}
