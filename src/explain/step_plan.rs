//! Plan for one step of the job.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use super::{EndpointNote, Exclusion, Shortfall};

/// What the next round would do for the waiting units of a step.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StepPlan {
    /// Occurrence, from 0 on.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: usize,
    /// Units that wait: gangs or single tasks.
    pub units: usize,
    /// Units that would start.
    pub starts: usize,
    /// Number of tasks that would start on each endpoint; at most [`NOTES_MAX`](Self::NOTES_MAX) endpoints.
    pub tasks: BTreeMap<Arc<str>, u32>,
    /// What happens to the first unit that does not fit.
    pub shortfall: Option<Shortfall>,
    /// Endpoints before the first unit is placed, candidates first; at most [`NOTES_MAX`](Self::NOTES_MAX).
    pub endpoints: Vec<EndpointNote>,
    /// Number of candidates.
    pub candidates: usize,
    /// Number of excluded endpoints by reason.
    pub excluded: BTreeMap<Exclusion, usize>,
}

impl StepPlan {
    /// Most endpoints that are named in each list.
    pub const NOTES_MAX: usize = 32;
}

impl fmt::Display for StepPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { occurrence, step, .. } = self;
        writeln!(
            f,
            "step {step}, occurrence {occurrence}: {} of {} units start",
            self.starts, self.units
        )?;
        for (endpoint, tasks) in &self.tasks {
            writeln!(f, "  {endpoint}: {tasks} tasks")?;
        }
        if let Some(shortfall) = &self.shortfall {
            writeln!(f, "  first unit that does not fit: {shortfall}")?;
        }
        writeln!(f, "  {} candidates", self.candidates)?;
        for (exclusion, count) in &self.excluded {
            writeln!(f, "  {count} excluded: {exclusion}")?;
        }
        Ok(())
    }
}
