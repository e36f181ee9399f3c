//! What the planner reads from the table and writes to it.

use std::collections::BTreeMap;

use super::attempt::{Attempt, Cause, Goal};
use super::controller::{PAUSE_MIN, Planner, StepInput, StepOutput, announcement};
use super::error::PlannerError;
use super::job_change::{Change, Seats};
use super::pool_store::Committed;
use super::tracked_job::Entry;
use crate::job::{JobRow, NotRunReason, Outcome, Phase};
use crate::name::JobId;
use crate::plan::{Decision, EndKind, Event};
use crate::platform::{Step, Version};
use crate::time::Millis;

/// Time between two looks at the queue in the table; between them, hints from other instances tell of new jobs.
const QUEUE_SCAN_EVERY: Millis = Millis::from_secs(5);

impl Planner {
    /// Everything that reads or writes the table.
    pub(super) fn write(
        &mut self,
        now: Millis,
        view: StepInput<'_>,
        progress: &mut StepOutput,
    ) -> Result<(), PlannerError> {
        self.take_in(now)?;
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            if let Some(change) = entry.advance(now) {
                changes.push(change);
            } else if entry.row.cancel && entry.row.phase == Phase::Queued {
                let ran = entry.row.started;
                changes.push(entry.end(Outcome::Cancelled { ran }, EndKind::Cancelled, None));
            } else if entry.is_overdue(now) {
                let message = "the job did not start before its deadline".to_owned();
                changes.push(entry.reject(NotRunReason::Deadline, message, false));
            }
        }
        self.commit(now, changes, progress)?;
        if !view.session_live || now < self.quiet_until || !self.fleet.is_known(now) {
            return Ok(());
        }
        let changes = self.decide(now)?;
        self.commit(now, changes, progress)
    }

    /// Reads the rows of jobs that are new or cancelled.
    fn take_in(&mut self, now: Millis) -> Result<(), PlannerError> {
        if now.since(self.scanned) >= QUEUE_SCAN_EVERY {
            self.scanned = now;
            for (id, version) in self.ledger.queued()? {
                if self.entries.get(&id).is_none_or(|entry| entry.version < version) {
                    self.wakes.insert(id);
                }
            }
        }
        if self.wakes.is_empty() {
            return Ok(());
        }
        let ids: Vec<_> = self.wakes.iter().cloned().collect();
        let rows = self.ledger.read_jobs(&ids)?;
        self.wakes.clear();
        for (row, version) in rows {
            if row.pool == self.ledger.pool {
                self.update(now, row, version);
            }
        }
        Ok(())
    }

    /// Takes a row as it is now in the table. Its phase differs from what is in memory only if the caller cancelled the
    /// job while it waited, or if this planner's own write took effect and neither its answer nor the read-back arrived.
    fn update(&mut self, now: Millis, row: JobRow, version: Version) {
        let id = row.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            if row.phase == Phase::Queued {
                let entry = Entry::found(row, version, now);
                self.policy.apply(now, Event::Queued(entry.queued_job()));
                self.entries.insert(id, entry);
            }
            return;
        };
        if version <= entry.version {
            return;
        }
        let before = std::mem::replace(&mut entry.row, row);
        entry.version = version;
        let held = entry.attempt.is_some();
        if matches!(entry.row.phase, Phase::Ended { .. }) {
            self.entries.remove(&id);
            self.forget(&before);
            self.policy.apply(now, released(id, held, EndKind::Cancelled));
            return;
        }
        match (&entry.row.phase, held) {
            (Phase::Queued, true) => {
                entry.attempt = None;
                let queued = entry.queued_job();
                self.forget(&before);
                self.policy.apply(now, released(id, held, EndKind::Stopped));
                self.policy.apply(now, Event::Queued(queued));
            }
            (Phase::Placed { .. } | Phase::Running { .. }, false) => {
                *entry = Entry::found(entry.row.clone(), version, now);
                let found = announcement(entry, now);
                self.policy.apply(now, found);
            }
            (Phase::Running { .. }, true) if before.phase != entry.row.phase => {
                entry.attempt.iter_mut().for_each(|attempt| attempt.since = now);
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: Millis) -> Result<Vec<Change>, PlannerError> {
        let mut changes = Vec::new();
        for decision in self.policy.decide(now) {
            match decision {
                Decision::Place { job, seats, guaranteed } => {
                    let Some(entry) = self.entries.get(&job) else {
                        self.policy.apply(
                            now,
                            Event::Unplaced {
                                job: job.clone(),
                                endpoint: None,
                            },
                        );
                        self.policy.apply(now, Event::Withdrawn(job));
                        continue;
                    };
                    let phase = Phase::Placed { seats, guaranteed };
                    let row = JobRow {
                        phase,
                        attempt: entry.row.attempt + 1,
                        ..entry.row.clone()
                    };
                    changes.push(Change {
                        seats: Seats::Take,
                        ..Change::new(Step::Place, row)
                    });
                }
                Decision::Stop { job, .. } => {
                    if let Some(attempt) = self.entries.get_mut(&job).and_then(|entry| entry.attempt.as_mut()) {
                        attempt.stop(Cause::Preempted);
                    }
                }
                Decision::Reject { job, reason, failed } => {
                    let Some(entry) = self.entries.get(&job) else { continue };
                    changes.push(entry.reject(NotRunReason::Impossible, reason, failed));
                }
                Decision::Quarantine { endpoint, reason } => self.ledger.quarantine(&endpoint, Some(reason))?,
                Decision::Reinstate { endpoint } => self.ledger.quarantine(&endpoint, None)?,
            }
        }
        Ok(changes)
    }

    fn commit(&mut self, now: Millis, changes: Vec<Change>, progress: &mut StepOutput) -> Result<(), PlannerError> {
        if changes.is_empty() {
            return Ok(());
        }
        let mut by_step: BTreeMap<Step, Vec<Change>> = BTreeMap::new();
        for mut change in changes {
            // A job ends only after its answer is safe; until then the end is tried again at each step.
            if let Some((name, bytes)) = change.row.detach_answer()
                && let Err(error) = self.ledger.objects.put(&name, &bytes)
            {
                log::warn!("job {}: {error}", change.row.id);
                continue;
            }
            by_step.entry(change.step).or_default().push(change);
        }
        for changes in by_step.into_values() {
            let versions = changes
                .iter()
                .filter_map(|change| Some((change.row.id.clone(), self.entries.get(&change.row.id)?.version)))
                .collect();
            let results = match self.ledger.commit(&changes, &versions) {
                Ok(results) => results,
                Err(error) => {
                    self.revert(now, &changes);
                    return Err(error);
                }
            };
            for (change, result) in changes.into_iter().zip(results) {
                self.settle(now, change, result, progress);
            }
        }
        Ok(())
    }

    /// Tells the decision core that placements and rejections are not certain; their rows are read again.
    fn revert(&mut self, now: Millis, changes: &[Change]) {
        for change in changes {
            let job = change.row.id.clone();
            self.wakes.insert(job.clone());
            if change.step == Step::Place {
                self.policy.apply(now, Event::Unplaced { job, endpoint: None });
            }
        }
    }

    fn settle(&mut self, now: Millis, change: Change, result: Committed, progress: &mut StepOutput) {
        let job = change.row.id.clone();
        match result {
            Committed::Done(version) => {
                self.pause = PAUSE_MIN;
                self.done(now, change, version, progress);
            }
            Committed::Moved(found) => {
                self.give_back(now, &change);
                if let Some(found) = found {
                    let (row, version) = *found;
                    self.update(now, row, version);
                } else {
                    self.entries.remove(&job);
                    self.policy.apply(now, Event::Withdrawn(job));
                }
            }
            Committed::Refused => {
                self.give_back(now, &change);
                self.back_off(now);
            }
        }
    }

    /// Tells the decision core that a decision was not carried out.
    fn give_back(&mut self, now: Millis, change: &Change) {
        let job = change.row.id.clone();
        if change.step == Step::Place {
            self.policy.apply(now, Event::Unplaced { job, endpoint: None });
        } else if change.step == Step::End
            && let Some(entry) = self.entries.get(&job)
            && entry.row.phase == Phase::Queued
        {
            self.policy.apply(now, Event::Queued(entry.queued_job()));
        }
    }

    fn done(&mut self, now: Millis, change: Change, version: Version, progress: &mut StepOutput) {
        let job = change.row.id.clone();
        let Some(entry) = self.entries.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(&mut entry.row, change.row);
        entry.version = version;
        match change.step {
            Step::Place => {
                let members = entry.seats().len();
                entry.attempt = Some(Attempt::new(Goal::Run, members, now));
            }
            Step::Run => entry.attempt.iter_mut().for_each(|attempt| attempt.since = now),
            Step::Requeue => {
                entry.attempt = None;
                let queued = entry.queued_job();
                self.forget(&before);
                match change.end {
                    None => self.policy.apply(
                        now,
                        Event::Unplaced {
                            job,
                            endpoint: change.endpoint,
                        },
                    ),
                    Some(kind) => {
                        self.policy.apply(
                            now,
                            Event::Ended {
                                job,
                                kind,
                                endpoint: change.endpoint,
                            },
                        );
                        self.policy.apply(now, Event::Queued(queued));
                    }
                }
            }
            _ => {
                self.entries.remove(&job);
                self.forget(&before);
                progress.ended.push(job.clone());
                let event = match change.end {
                    Some(kind) if before.phase != Phase::Queued => Event::Ended {
                        job,
                        kind,
                        endpoint: change.endpoint,
                    },
                    _ => Event::Withdrawn(job),
                };
                self.policy.apply(now, event);
            }
        }
    }

    /// Lets the endpoints forget an attempt whose end is written.
    fn forget(&mut self, row: &JobRow) {
        let (Phase::Placed { seats, .. } | Phase::Running { seats, .. }) = &row.phase else {
            return;
        };
        for (member, seat) in (0..).zip(seats) {
            if let Some(contact) = self.fleet.contacts.get_mut(&seat.endpoint) {
                contact.forget.push((row.id.clone(), row.attempt, member));
            }
        }
    }
}

/// Tells the decision core that a job found to be over no longer waits or holds seats.
fn released(job: JobId, held: bool, kind: EndKind) -> Event {
    if held {
        let endpoint = None;
        return Event::Ended { job, kind, endpoint };
    }
    Event::Withdrawn(job)
}
