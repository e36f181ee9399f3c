//! Reads and writes of the table.

use std::collections::BTreeMap;

use super::attempt::{Attempt, Goal, StopCause};
use super::controller::{BACKOFF_MIN, Planner, StepInput, StepOutput, recovery_event};
use super::error::PlannerError;
use super::job_change::{JobChange, SeatChange};
use super::pool_store::CommitResult;
use super::tracked_job::TrackedJob;
use crate::job::{JobRow, NotRunReason, Outcome, Phase};
use crate::name::JobId;
use crate::plan::{Decision, EndKind, Event};
use crate::platform::{Step, Version};
use crate::time::Millis;

/// Interval of queue scans in the table; between scans, hints from other instances announce new jobs.
const QUEUE_SCAN_EVERY: Millis = Millis::from_secs(5);

impl Planner {
    /// Reads changed jobs, commits due changes, then decides and commits the decisions.
    pub(super) fn sync_table(
        &mut self,
        now: Millis,
        input: StepInput<'_>,
        output: &mut StepOutput,
    ) -> Result<(), PlannerError> {
        self.reload_jobs(now)?;
        let mut changes = Vec::new();
        for tracked in self.jobs.values_mut() {
            if let Some(change) = tracked.next_change(now) {
                changes.push(change);
            } else if tracked.row.cancel && tracked.row.phase == Phase::Queued {
                let ran = tracked.row.started;
                changes.push(tracked.end(Outcome::Cancelled { ran }, EndKind::Cancelled, None));
            } else if tracked.is_overdue(now) {
                let message = "the job did not start before its deadline".to_owned();
                changes.push(tracked.reject(NotRunReason::Deadline, message, false));
            }
        }
        self.commit(now, changes, output)?;
        if !input.session_live || now < self.retry_at || !self.fleet.all_probed(now) {
            return Ok(());
        }
        let changes = self.decide(now)?;
        self.commit(now, changes, output)
    }

    /// Reads the rows of new and cancelled jobs.
    fn reload_jobs(&mut self, now: Millis) -> Result<(), PlannerError> {
        if now.since(self.queue_scanned_at) >= QUEUE_SCAN_EVERY {
            self.queue_scanned_at = now;
            for (id, version) in self.store.scan_queue()? {
                if self.jobs.get(&id).is_none_or(|tracked| tracked.version < version) {
                    self.jobs_to_reload.insert(id);
                }
            }
        }
        if self.jobs_to_reload.is_empty() {
            return Ok(());
        }
        let ids: Vec<_> = self.jobs_to_reload.iter().cloned().collect();
        let rows = self.store.read_jobs(&ids)?;
        self.jobs_to_reload.clear();
        for (row, version) in rows {
            if row.pool == self.store.pool {
                self.apply_row(now, row, version);
            }
        }
        Ok(())
    }

    /// Applies the current row of a job. Its phase differs from the one in memory only if the caller cancelled the job
    /// while it was queued, or if this planner's own write took effect and both its answer and the read-back were lost.
    fn apply_row(&mut self, now: Millis, row: JobRow, version: Version) {
        let id = row.id.clone();
        let Some(tracked) = self.jobs.get_mut(&id) else {
            if row.phase == Phase::Queued {
                let tracked = TrackedJob::from_row(row, version, now);
                self.policy.apply(now, Event::Queued(tracked.queued_job()));
                self.jobs.insert(id, tracked);
            }
            return;
        };
        if version <= tracked.version {
            return;
        }
        let before = std::mem::replace(&mut tracked.row, row);
        tracked.version = version;
        let holds_seats = tracked.attempt.is_some();
        if matches!(tracked.row.phase, Phase::Ended { .. }) {
            self.jobs.remove(&id);
            self.forget_attempt(&before);
            self.policy
                .apply(now, removal_event(id, holds_seats, EndKind::Cancelled));
            return;
        }
        match (&tracked.row.phase, holds_seats) {
            (Phase::Queued, true) => {
                tracked.attempt = None;
                let queued = tracked.queued_job();
                self.forget_attempt(&before);
                self.policy.apply(now, removal_event(id, holds_seats, EndKind::Stopped));
                self.policy.apply(now, Event::Queued(queued));
            }
            (Phase::Placed { .. } | Phase::Running { .. }, false) => {
                *tracked = TrackedJob::from_row(tracked.row.clone(), version, now);
                let event = recovery_event(tracked, now);
                self.policy.apply(now, event);
            }
            (Phase::Running { .. }, true) if before.phase != tracked.row.phase => {
                tracked.attempt.iter_mut().for_each(|attempt| attempt.phase_since = now);
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: Millis) -> Result<Vec<JobChange>, PlannerError> {
        let mut changes = Vec::new();
        for decision in self.policy.decide(now) {
            match decision {
                Decision::Place { job, seats, guaranteed } => {
                    let Some(tracked) = self.jobs.get(&job) else {
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
                        attempt: tracked.row.attempt + 1,
                        ..tracked.row.clone()
                    };
                    changes.push(JobChange {
                        seats: SeatChange::Take,
                        ..JobChange::new(Step::Place, row)
                    });
                }
                Decision::Stop { job, .. } => {
                    if let Some(attempt) = self.jobs.get_mut(&job).and_then(|tracked| tracked.attempt.as_mut()) {
                        attempt.stop(StopCause::Preempted);
                    }
                }
                Decision::Reject { job, reason, failed } => {
                    let Some(tracked) = self.jobs.get(&job) else { continue };
                    changes.push(tracked.reject(NotRunReason::Impossible, reason, failed));
                }
                Decision::Quarantine { endpoint, reason } => self.store.set_quarantine(&endpoint, Some(reason))?,
                Decision::Reinstate { endpoint } => self.store.set_quarantine(&endpoint, None)?,
            }
        }
        Ok(changes)
    }

    fn commit(&mut self, now: Millis, changes: Vec<JobChange>, output: &mut StepOutput) -> Result<(), PlannerError> {
        if changes.is_empty() {
            return Ok(());
        }
        let mut by_step: BTreeMap<Step, Vec<JobChange>> = BTreeMap::new();
        for mut change in changes {
            // A job ends only after its answer is stored; until then the end is retried at each step.
            if let Some((name, bytes)) = change.row.detach_answer()
                && let Err(error) = self.store.objects.put(&name, &bytes)
            {
                log::warn!("job {}: the answer cannot be stored yet: {error}", change.row.id);
                continue;
            }
            by_step.entry(change.step).or_default().push(change);
        }
        for changes in by_step.into_values() {
            let versions = changes
                .iter()
                .filter_map(|change| Some((change.row.id.clone(), self.jobs.get(&change.row.id)?.version)))
                .collect();
            let results = match self.store.commit(&changes, &versions) {
                Ok(results) => results,
                Err(error) => {
                    self.undo_uncertain(now, &changes);
                    return Err(error);
                }
            };
            for (change, result) in changes.into_iter().zip(results) {
                self.apply_result(now, change, result, output);
            }
        }
        Ok(())
    }

    /// Reloads the rows of changes with an uncertain result, and returns their placements to the policy.
    fn undo_uncertain(&mut self, now: Millis, changes: &[JobChange]) {
        for change in changes {
            let job = change.row.id.clone();
            self.jobs_to_reload.insert(job.clone());
            if change.step == Step::Place {
                self.policy.apply(now, Event::Unplaced { job, endpoint: None });
            }
        }
    }

    fn apply_result(&mut self, now: Millis, change: JobChange, result: CommitResult, output: &mut StepOutput) {
        let job = change.row.id.clone();
        match result {
            CommitResult::Written(version) => {
                self.backoff = BACKOFF_MIN;
                self.apply_written(now, change, version, output);
            }
            CommitResult::RowChanged(current) => {
                self.undo_decision(now, &change);
                if let Some(current) = current {
                    let (row, version) = *current;
                    self.apply_row(now, row, version);
                } else {
                    self.jobs.remove(&job);
                    self.policy.apply(now, Event::Withdrawn(job));
                }
            }
            CommitResult::NotWritten => {
                self.undo_decision(now, &change);
                self.back_off(now);
            }
        }
    }

    /// Tells the policy that a decision was not committed.
    fn undo_decision(&mut self, now: Millis, change: &JobChange) {
        let job = change.row.id.clone();
        if change.step == Step::Place {
            self.policy.apply(now, Event::Unplaced { job, endpoint: None });
        } else if change.step == Step::End
            && let Some(tracked) = self.jobs.get(&job)
            && tracked.row.phase == Phase::Queued
        {
            self.policy.apply(now, Event::Queued(tracked.queued_job()));
        }
    }

    fn apply_written(&mut self, now: Millis, change: JobChange, version: Version, output: &mut StepOutput) {
        let job = change.row.id.clone();
        let Some(tracked) = self.jobs.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(&mut tracked.row, change.row);
        tracked.version = version;
        match change.step {
            Step::Place => {
                let members = tracked.seats().len();
                tracked.attempt = Some(Attempt::new(Goal::Run, members, now));
            }
            Step::Run => tracked.attempt.iter_mut().for_each(|attempt| attempt.phase_since = now),
            Step::Requeue => {
                tracked.attempt = None;
                let queued = tracked.queued_job();
                self.forget_attempt(&before);
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
                self.jobs.remove(&job);
                self.forget_attempt(&before);
                output.ended.push(job.clone());
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

    /// Tells the endpoints to forget an attempt whose end is written.
    fn forget_attempt(&mut self, row: &JobRow) {
        let (Phase::Placed { seats, .. } | Phase::Running { seats, .. }) = &row.phase else {
            return;
        };
        for (member, seat) in (0..).zip(seats) {
            if let Some(link) = self.fleet.links.get_mut(&seat.endpoint) {
                link.tasks_to_forget.push((row.id.clone(), row.attempt, member));
            }
        }
    }
}

/// Event that removes a job from the policy's queue, or frees its seats if it held any.
fn removal_event(job: JobId, held_seats: bool, kind: EndKind) -> Event {
    if held_seats {
        let endpoint = None;
        return Event::Ended { job, kind, endpoint };
    }
    Event::Withdrawn(job)
}
