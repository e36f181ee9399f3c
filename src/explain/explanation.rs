//! Where a job would go now.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use super::{HoldUp, StepPlan};

/// Where a job would go if it were submitted now. It describes the state of the leader at one moment; what other jobs do
/// before the next round is not foreseen.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Time of the answer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Version of the configuration that was used.
    pub config_version: u64,
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Pool of the queue.
    pub pool: Arc<str>,
    /// Priority of the queue; 0 is urgent.
    pub priority: u32,
    /// Waiting jobs of the pool that are served before it.
    pub jobs_ahead: usize,
    /// Team of the job.
    pub team: Arc<str>,
    /// Accelerators that the team is guaranteed.
    pub guaranteed: u64,
    /// An urgent job within the guarantee of its team.
    pub within_guarantee: bool,
    /// Why nothing starts at present; the steps are planned as if it did not apply.
    pub hold_up: Option<HoldUp>,
    /// Steps that are due; at most [`STEPS_MAX`](Self::STEPS_MAX).
    pub steps: Vec<StepPlan>,
    /// Further steps that are due.
    pub more_steps: usize,
    /// Steps that wait for other steps or for their time, counted for each occurrence.
    pub later_steps: usize,
}

impl Explanation {
    /// Most steps that are explained.
    pub const STEPS_MAX: usize = 16;
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "at {} ms, fence {}, configuration {}",
            self.at_ms, self.fence, self.config_version
        )?;
        let Self {
            queue, pool, priority, ..
        } = self;
        writeln!(
            f,
            "queue {queue}, pool {pool}, priority {priority}, {} jobs ahead",
            self.jobs_ahead
        )?;
        let within = if self.within_guarantee { "within" } else { "not under" };
        writeln!(
            f,
            "team {}, {within} its guarantee of {} accelerators",
            self.team, self.guaranteed
        )?;
        if let Some(hold_up) = self.hold_up {
            writeln!(f, "nothing starts now: {hold_up}")?;
        }
        for step in &self.steps {
            write!(f, "{step}")?;
        }
        if self.more_steps > 0 {
            writeln!(f, "{} further steps that are due", self.more_steps)?;
        }
        if self.later_steps > 0 {
            writeln!(f, "{} steps wait for others or for their time", self.later_steps)?;
        }
        Ok(())
    }
}
