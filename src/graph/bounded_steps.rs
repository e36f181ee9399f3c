//! Decoding of the steps of a job that callers submit.
//!
//! A step may take three bytes in a body, and some two hundred once it is decoded, so that decoding stops at the largest
//! number of steps that a job may have.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use super::job_graph::TASKS_MAX;

/// Collects steps, each of which has a task at least.
struct StepVisitor<T>(PhantomData<T>);

impl<'d, T> Visitor<'d> for StepVisitor<T>
where
    T: Deserialize<'d>,
{
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {TASKS_MAX} steps")
    }

    fn visit_seq<A>(self, mut list: A) -> Result<Self::Value, A::Error>
    where
        A: SeqAccess<'d>,
    {
        let mut steps = Vec::new();
        while let Some(step) = list.next_element()? {
            if steps.len() as u64 == TASKS_MAX {
                return Err(A::Error::invalid_length(steps.len() + 1, &self));
            }
            steps.push(step);
        }
        Ok(steps)
    }
}

/// Decodes a list of steps that is not longer than that of any valid job.
pub fn bounded_steps<'d, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'d>,
    T: Deserialize<'d>,
{
    deserializer.deserialize_seq(StepVisitor(PhantomData))
}
