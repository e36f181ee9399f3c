//! Job graphs.

use prost::Message;

use super::{GraphError, Step};

/// Largest payload, in bytes; callers are promised that this size is accepted.
const PAYLOAD_BYTES_MAX: usize = 4_000;

/// Most tasks of one job, over all steps and occurrences. Keeps the record of a job below the row limit of 64 KiB.
pub(super) const TASKS_MAX: u64 = 1_000;

/// A job as its caller submitted it.
#[derive(Clone, PartialEq, Message)]
pub struct JobGraph {
    /// Input of the tasks; opaque to the scheduler.
    #[prost(string, tag = "1")]
    pub payload: String,
    /// Steps; other steps refer to them by position.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
    /// Number of scheduled occurrences; 0 for a job that runs once and is due at once.
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

    /// Length of the critical path, with the duration of each step given by `duration`.
    pub fn critical_path<F>(&self, duration: F) -> f64
    where
        F: Fn(&Step) -> f64,
    {
        let mut ends: Vec<f64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_ends = step.after.iter().filter_map(|after| ends.get(*after as usize));
            let start = dependency_ends.copied().fold(0.0, f64::max);
            ends.push(start + duration(step));
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Rejects graphs that cannot be run or stored.
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
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(GraphError::NoTasks(position));
            }
            tasks = tasks.saturating_add(u64::from(step.count));
            for after in &step.after {
                if *after as usize >= position {
                    return Err(GraphError::StepOrder {
                        step: position,
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
