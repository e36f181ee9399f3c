//! The graph of a job.

use prost::Message;

use super::{GraphError, Step};

/// Largest payload, in bytes: the limit that callers are promised.
const PAYLOAD_BYTES_MAX: usize = 4_000;

/// Most tasks of one job, all steps together; keeps the record of a job below the row limit of 64 KiB.
const TASKS_MAX: u64 = 1_000;

/// A job as its caller sent it.
#[derive(Clone, PartialEq, Message)]
pub struct JobGraph {
    /// What the tasks are told to do; opaque here.
    #[prost(string, tag = "1")]
    pub payload: String,
    /// The steps, in the order in which others refer to them.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
    /// Number of occurrences; 0 for a job that runs once, at once.
    #[prost(uint32, tag = "3")]
    pub scheduled_occurrences: u32,
    /// Due time of the first occurrence, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub start_ms: u64,
    /// Time between two occurrences, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub interval_ms: u64,
}

impl JobGraph {
    /// Number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.scheduled_occurrences.max(1)
    }

    /// Due time of an occurrence, in milliseconds since 1970; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.scheduled_occurrences == 0 {
            return 0;
        }
        self.start_ms
            .saturating_add(u64::from(occurrence).saturating_mul(self.interval_ms))
    }

    /// Length of the longest chain of steps, with the duration of each step given by `span`.
    pub fn critical_path<F>(&self, span: F) -> f64
    where
        F: Fn(&Step) -> f64,
    {
        let mut ends: Vec<f64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|after| ends.get(*after as usize));
            let start = before.copied().fold(0.0, f64::max);
            ends.push(start + span(step));
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Checks what no later stage could repair.
    pub fn check(&self) -> Result<(), GraphError> {
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(GraphError::PayloadTooLarge {
                limit: PAYLOAD_BYTES_MAX,
                found: self.payload.len(),
            });
        }
        if self.steps.is_empty() {
            return Err(GraphError::NoSteps);
        }
        let mut tasks = 0_u64;
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(GraphError::NoTasks(at));
            }
            tasks = tasks.saturating_add(u64::from(step.count));
            for after in &step.after {
                if *after as usize >= at {
                    return Err(GraphError::StepOrder {
                        step: at,
                        after: *after,
                    });
                }
            }
        }
        tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        if tasks > TASKS_MAX {
            return Err(GraphError::TooManyTasks {
                limit: TASKS_MAX,
                found: tasks,
            });
        }
        Ok(())
    }
}
