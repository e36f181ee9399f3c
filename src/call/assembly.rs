//! Assembly of an answer from its parts.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::job::Outcome;
use crate::name::JobId;
use crate::platform::CallPart;

/// Most parts of an answer; an endpoint that sends more is faulty.
const ANSWER_PARTS_MAX: u32 = 65_536;

/// Collects the parts of one attempt's answer, in any order of arrival.
#[derive(Debug, Clone)]
pub struct Assembly {
    job: JobId,
    attempt: u32,
    parts: BTreeMap<u32, CallPart>,
    /// Number of parts; known once the last part has arrived.
    part_count: Option<u32>,
}

impl Assembly {
    /// An assembly without parts.
    pub fn new(job: JobId, attempt: u32) -> Self {
        Self {
            job,
            attempt,
            parts: BTreeMap::new(),
            part_count: None,
        }
    }

    /// Adds a part. Returns false if the part is dropped: it belongs to another job or attempt, its number is too high,
    /// it is a duplicate, or it contradicts the number of the last part.
    pub fn add(&mut self, part: CallPart) -> bool {
        let sequence = part.sequence;
        if part.job != self.job || part.attempt != self.attempt || sequence >= ANSWER_PARTS_MAX {
            return false;
        }
        if self.parts.contains_key(&sequence) || self.part_count.is_some_and(|part_count| sequence >= part_count) {
            return false;
        }
        if part.last {
            let has_later_part = self.parts.keys().next_back().is_some_and(|highest| *highest > sequence);
            if self.part_count.is_some() || has_later_part {
                return false;
            }
            self.part_count = Some(sequence + 1);
        }
        self.parts.insert(sequence, part);
        true
    }

    /// The outcome, if every part has arrived: the data of a single part, or a list of the data of several.
    pub fn finish(self) -> Option<Outcome> {
        if self.parts.len() != usize::try_from(self.part_count?).ok()? {
            return None;
        }
        let mut data = Vec::with_capacity(self.parts.len());
        for part in self.parts.into_values() {
            if part.failed {
                let reason = match part.data {
                    Value::String(text) => text,
                    other => other.to_string(),
                };
                return Some(Outcome::Failed { reason });
            }
            data.push(part.data);
        }
        let answer = match data.len() {
            1 => data.remove(0),
            _ => Value::Array(data),
        };
        Some(Outcome::Completed { answer })
    }

    /// The outcome of these parts, if they are the complete answer.
    pub fn outcome_of<I>(job: &JobId, attempt: u32, parts: I) -> Option<Outcome>
    where
        I: IntoIterator<Item = CallPart>,
    {
        let mut assembly = Self::new(job.clone(), attempt);
        for part in parts {
            assembly.add(part);
        }
        assembly.finish()
    }
}
