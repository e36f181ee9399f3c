//! In-memory state of a job.

use super::attempt::{Attempt, Goal, StopCause};
use super::job_change::{JobChange, SeatChange};
use super::member::Member;
use crate::job::{JobRow, NotRunReason, Outcome, Phase, Seat};
use crate::name::EndpointName;
use crate::plan::{EndKind, QueuedJob};
use crate::platform::{Action, Step, TaskState, Version};
use crate::time::Millis;

/// Time limit for preparing all members; a slower gang is undone so that its seats do not stay idle.
const PREPARE_MAX: Millis = Millis(2000);
/// Time limit for releasing all members; beyond it only a part of the gang would run.
const RELEASE_MAX: Millis = Millis(2000);
/// Time limit for a checkpoint, after which the task is stopped without one; keeps a reclaim within its 2.6 s.
const CHECKPOINT_GRACE_MS: u64 = 1500;

fn seats_of(phase: &Phase) -> &[Seat] {
    match phase {
        Phase::Placed { seats, .. } | Phase::Running { seats, .. } => seats,
        _ => &[],
    }
}

/// A job's row, its version, and the state of its attempt.
#[derive(Debug, Clone)]
pub(super) struct TrackedJob {
    pub row: JobRow,
    pub version: Version,
    /// When this planner first saw the job.
    pub first_seen: Millis,
    pub attempt: Option<Attempt>,
}

impl TrackedJob {
    /// State of a job that was read from the table: a `placed` attempt is undone, a `running` one continues.
    pub fn from_row(row: JobRow, version: Version, now: Millis) -> Self {
        let mut tracked = Self {
            row,
            version,
            first_seen: now,
            attempt: None,
        };
        let members = tracked.seats().len();
        tracked.attempt = match tracked.row.phase {
            Phase::Placed { .. } => Some(Attempt::new(
                Goal::Stop(StopCause::Unprepared { endpoint: None }),
                members,
                now,
            )),
            Phase::Running { .. } => Some(Attempt::new(Goal::Run, members, now)),
            _ => None,
        };
        tracked
    }

    /// Seats in the row.
    pub fn seats(&self) -> &[Seat] {
        seats_of(&self.row.phase)
    }

    /// Members of the attempt, with their seats.
    pub fn members_mut(&mut self) -> impl Iterator<Item = (&mut Member, &Seat)> {
        let members = self
            .attempt
            .as_mut()
            .map_or(&mut [][..], |attempt| &mut attempt.members);
        members.iter_mut().zip(seats_of(&self.row.phase))
    }

    fn free_seats(&self) -> SeatChange {
        SeatChange::Free(self.seats().iter().map(|seat| seat.endpoint.clone()).collect())
    }

    /// The job in the form that the policy takes.
    pub fn queued_job(&self) -> QueuedJob {
        let spec = &self.row.spec;
        QueuedJob {
            id: self.row.id.clone(),
            team: spec.team.clone(),
            kind: spec.kind.clone(),
            shape: spec.shape,
            declared: Millis::from_secs(spec.run_time_s),
            checkpoints: spec.checkpoints,
            idempotent: spec.idempotent,
            urgent: spec.urgent,
            attempt: self.row.attempt,
            accepted_at: self.first_seen,
        }
    }

    /// Command that a member needs now, if any.
    pub fn pending_action(&self, member: usize) -> Option<Action> {
        let attempt = self.attempt.as_ref()?;
        let Member { state, lost } = attempt.members.get(member)?;
        if *lost {
            return None;
        }
        match (&self.row.phase, &attempt.goal, state) {
            (Phase::Placed { seats, .. }, Goal::Run, None) => Some(self.prepare_action(member, &seats[member])),
            (Phase::Placed { .. }, Goal::Stop(_), None | Some(TaskState::Held)) => Some(Action::Refuse),
            (Phase::Running { .. }, Goal::Run, None | Some(TaskState::Held)) => Some(Action::Release),
            (Phase::Running { .. }, Goal::Stop(cause), None | Some(TaskState::Held | TaskState::Running)) => {
                Some(self.stop_action(member, cause))
            }
            _ => None,
        }
    }

    fn prepare_action(&self, member: usize, seat: &Seat) -> Action {
        let spec = &self.row.spec;
        Action::Prepare {
            kind: spec.kind.clone(),
            cores: spec.shape.cores,
            memory_mb: spec.shape.memory_mb,
            accelerators: seat.accelerators.clone(),
            members: spec.shape.members,
            payload: spec.payload.clone(),
            checkpoint: self.row.checkpoint.as_ref().map(|object| format!("{object}/{member}")),
            trace: self.row.trace.clone(),
        }
    }

    fn stop_action(&self, member: usize, cause: &StopCause) -> Action {
        let wanted = self.row.spec.checkpoints && *cause != StopCause::Cancelled;
        let checkpoint = wanted.then(|| format!("{}/{member}", self.checkpoint_name()));
        Action::Stop {
            checkpoint,
            grace_ms: CHECKPOINT_GRACE_MS,
        }
    }

    fn checkpoint_name(&self) -> String {
        format!("checkpoint/{}/{}", self.row.id, self.row.attempt)
    }

    /// Updates the goal from the members' states, and returns the change to commit, if one is due.
    pub fn next_change(&mut self, now: Millis) -> Option<JobChange> {
        self.update_goal(now);
        let attempt = self.attempt.as_ref()?;
        match (&self.row.phase, &attempt.goal) {
            (Phase::Placed { seats, guaranteed }, Goal::Run) if attempt.members.iter().all(Member::is_held) => {
                let phase = Phase::Running {
                    seats: seats.clone(),
                    guaranteed: *guaranteed,
                };
                Some(JobChange::new(
                    Step::Run,
                    JobRow {
                        phase,
                        started: true,
                        ..self.row.clone()
                    },
                ))
            }
            (Phase::Placed { .. }, Goal::Stop(cause)) if attempt.is_terminal() => Some(self.undo_placement(cause)),
            (Phase::Running { .. }, _) if attempt.is_terminal() => Some(self.finish_attempt(attempt)),
            _ => None,
        }
    }

    fn update_goal(&mut self, now: Millis) {
        let Self {
            row,
            attempt: Some(attempt),
            ..
        } = self
        else {
            return;
        };
        let placed = matches!(row.phase, Phase::Placed { .. });
        if row.cancel {
            attempt.stop(StopCause::Cancelled);
        }
        if attempt.goal != Goal::Run {
            return;
        }
        let late = now.since(attempt.phase_since) > if placed { PREPARE_MAX } else { RELEASE_MAX };
        let mut cause = None;
        for (member, seat) in attempt.members.iter().zip(seats_of(&row.phase)) {
            let endpoint = || seat.endpoint.clone();
            cause = match &member.state {
                Some(TaskState::Failed { reason }) => Some(StopCause::Failed {
                    endpoint: endpoint(),
                    reason: reason.clone(),
                }),
                Some(TaskState::Finished { .. }) if !member.lost => None,
                _ if placed && (member.is_terminal() || (late && !member.is_held())) => Some(StopCause::Unprepared {
                    endpoint: Some(endpoint()),
                }),
                _ if member.is_terminal() => Some(StopCause::Lost { endpoint: endpoint() }),
                None | Some(TaskState::Held) if !placed && late => Some(StopCause::Lost { endpoint: endpoint() }),
                _ => None,
            };
            if cause.is_some() {
                break;
            }
        }
        if let Some(cause) = cause {
            attempt.stop(cause);
        }
    }

    /// Whether all members of a running attempt have started.
    pub fn has_started(&self) -> bool {
        matches!(self.row.phase, Phase::Running { .. })
            && self
                .attempt
                .as_ref()
                .is_some_and(|attempt| attempt.members.iter().all(Member::did_run))
    }

    fn undo_placement(&self, cause: &StopCause) -> JobChange {
        let endpoint = match cause {
            StopCause::Unprepared { endpoint } => endpoint.clone(),
            _ => None,
        };
        if self.row.cancel {
            return self.end(Outcome::Cancelled { ran: self.row.started }, EndKind::Cancelled, None);
        }
        let row = JobRow {
            phase: Phase::Queued,
            ..self.row.clone()
        };
        JobChange {
            seats: self.free_seats(),
            queued: true,
            endpoint,
            ..JobChange::new(Step::Requeue, row)
        }
    }

    /// Change that ends a running attempt whose members have all stopped.
    fn finish_attempt(&self, attempt: &Attempt) -> JobChange {
        if let Some(answer) = self.answer(attempt) {
            return self.end(Outcome::Completed { answer }, EndKind::Completed, None);
        }
        let (kind, endpoint, reason) = match &attempt.goal {
            Goal::Stop(StopCause::Failed { endpoint, reason }) => {
                (EndKind::Failed, Some(endpoint.clone()), reason.clone())
            }
            Goal::Stop(StopCause::Lost { endpoint }) => (
                EndKind::Lost,
                Some(endpoint.clone()),
                format!("endpoint {endpoint} was lost while the job ran"),
            ),
            Goal::Stop(StopCause::Cancelled) => {
                let ran = self.row.checkpoint.is_some() || !attempt.members.iter().all(Member::never_ran);
                return self.end(Outcome::Cancelled { ran }, EndKind::Cancelled, None);
            }
            _ => (
                EndKind::Stopped,
                None,
                "the job had to give up its place and cannot be resumed".to_owned(),
            ),
        };
        if let Some(row) = self.requeued_row(attempt) {
            let change = JobChange::new(Step::Requeue, row);
            return JobChange {
                seats: self.free_seats(),
                queued: true,
                endpoint,
                end: Some(kind),
                ..change
            };
        }
        if attempt.members.iter().any(Member::did_run) {
            return self.end(Outcome::Failed { reason }, kind, endpoint);
        }
        self.end(Outcome::Unknown { reason }, kind, endpoint)
    }

    /// Row for another attempt, if one is allowed: no member ran, all have a checkpoint, or the job is idempotent.
    fn requeued_row(&self, attempt: &Attempt) -> Option<JobRow> {
        let has_checkpoint = |member: &Member| {
            !member.lost
                && matches!(
                    &member.state,
                    Some(TaskState::Stopped {
                        checkpoint: Some(_),
                        ..
                    })
                )
        };
        if attempt.members.iter().all(has_checkpoint) {
            let checkpoint = Some(self.checkpoint_name());
            return Some(JobRow {
                phase: Phase::Queued,
                checkpoint,
                ..self.row.clone()
            });
        }
        let none_ran = attempt.members.iter().all(Member::never_ran);
        (none_ran || self.row.spec.idempotent).then(|| JobRow {
            phase: Phase::Queued,
            ..self.row.clone()
        })
    }

    fn answer(&self, attempt: &Attempt) -> Option<serde_json::Value> {
        let mut answers = Vec::new();
        for member in &attempt.members {
            match &member.state {
                Some(TaskState::Finished { answer }) if !member.lost => answers.push(answer.clone()),
                _ => return None,
            }
        }
        if self.row.spec.shape.members == 1 {
            answers.pop()
        } else {
            Some(answers.into())
        }
    }

    /// Change that ends the job.
    pub fn end(&self, outcome: Outcome, kind: EndKind, endpoint: Option<EndpointName>) -> JobChange {
        let row = JobRow {
            phase: Phase::Ended { outcome },
            ..self.row.clone()
        };
        JobChange {
            seats: self.free_seats(),
            endpoint,
            end: Some(kind),
            ..JobChange::new(Step::End, row)
        }
    }

    /// Change that ends a queued job which will not be run, or not be run again.
    pub fn reject(&self, reason: NotRunReason, message: String, failed: bool) -> JobChange {
        let outcome = match (failed || self.row.started, reason) {
            (true, _) => Outcome::Failed { reason: message },
            (false, reason) => Outcome::NotRun { reason, message },
        };
        self.end(outcome, EndKind::Stopped, None)
    }

    /// Whether the job is queued and its deadline for the start has passed.
    pub fn is_overdue(&self, now: Millis) -> bool {
        let limit = self.row.spec.deadline_s;
        limit > 0
            && self.row.phase == Phase::Queued
            && !self.row.started
            && now.since(self.first_seen) > Millis::from_secs(limit)
    }
}
