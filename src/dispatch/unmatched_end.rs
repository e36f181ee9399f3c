//! Ends of runs that the dispatcher does not expect on the endpoint that reports them.

use std::sync::Arc;

use super::{Dispatcher, UnitState};
use crate::graph::TaskName;
use crate::port::{Outcome, RunEnd};

/// Why an end matches no expected run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnmatchedEnd {
    /// The job has ended, or was never known to this leader.
    JobUnknown,
    /// The job has failed or was cancelled.
    JobEnded,
    /// The unit is done: the run belongs to a fellow member of its gang, or was handled by a former leader.
    UnitDone,
    /// The record of the unit names no such run.
    NeverPlaced,
    /// The run was given up before its end was read.
    GivenUp,
}

impl UnmatchedEnd {
    /// Value of the metric's label.
    fn label(self) -> &'static str {
        match self {
            Self::JobUnknown => "job unknown",
            Self::JobEnded => "job ended",
            Self::UnitDone => "unit done",
            Self::NeverPlaced => "never placed",
            Self::GivenUp => "given up",
        }
    }
}

impl Dispatcher {
    /// Logs and counts an end that matches no expected run of the endpoint. If it shows that a unit has succeeded, the
    /// unit is done; its last run is stopped if there is a newer one.
    pub(super) fn unmatched_end(&mut self, name: &Arc<str>, end: &RunEnd, now: u64) {
        let (cause, given_up) = self.explain_unmatched(end);
        if end.outcome == Outcome::Done {
            self.counts.add_unmatched_done(cause.label());
        }
        let (why, ago_ms) = given_up.map_or(("", 0), |(why, at)| (why, now.saturating_sub(at)));
        let why_unmatched = cause.label();
        if cause == UnmatchedEnd::GivenUp && end.outcome == Outcome::Done {
            log::warn!(task:% = end.task, run = end.run, endpoint:% = name, number = end.number, why, ago_ms; "run has ended as done after it was given up");
            self.late_success(end, now);
            return;
        }
        log::info!(task:% = end.task, run = end.run, endpoint:% = name, number = end.number, outcome:? = end.outcome, why_unmatched, why, ago_ms; "endpoint reports the end of an unknown run");
    }

    /// Completes a unit of which a run succeeded that had been given up.
    fn late_success(&mut self, end: &RunEnd, now: u64) {
        let Ok(task) = end.task.parse::<TaskName>() else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(position) = job.unit_of(&task) else { return };
        if job.step(position).lasting {
            return;
        }
        self.stop_unit(&task.job, position, "an earlier run has succeeded", now);
        self.unit_done(&task.job, position, now);
    }

    /// Why no run matches an end; for a run that was given up, also the reason and time.
    fn explain_unmatched(&self, end: &RunEnd) -> (UnmatchedEnd, Option<(&'static str, u64)>) {
        let Some((task, job)) = end
            .task
            .parse::<TaskName>()
            .ok()
            .and_then(|task| self.jobs.get(&task.job).map(|job| (task, job)))
        else {
            return (UnmatchedEnd::JobUnknown, None);
        };
        let Some(position) = job.unit_of(&task) else {
            return (UnmatchedEnd::NeverPlaced, None);
        };
        let unit = &job.units[position];
        if unit.state == UnitState::Done {
            return (UnmatchedEnd::UnitDone, None);
        }
        if job.phase.is_final() {
            return (UnmatchedEnd::JobEnded, None);
        }
        if end.run > unit.run {
            return (UnmatchedEnd::NeverPlaced, None);
        }
        (UnmatchedEnd::GivenUp, Some((unit.given_up_why, unit.given_up_at)))
    }
}
