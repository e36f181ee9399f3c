//! A job's row in the table.

use serde::{Deserialize, Serialize};

use super::{JobSpec, Outcome};
use crate::name::{EndpointName, InstanceName, JobId, PoolName};

/// Place of one gang member on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat {
    /// The endpoint.
    #[serde(rename = "worker")]
    pub endpoint: EndpointName,
    /// Indices of its accelerators that the member holds.
    pub accelerators: Vec<u16>,
}

/// How far a job has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Waits for a place.
    Queued,
    /// Has places; members are being prepared and nothing runs.
    Placed {
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats lie in the team's guarantee.
        guaranteed: bool,
    },
    /// All members hold their places and have been, or are being, released.
    Running {
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats lie in the team's guarantee.
        guaranteed: bool,
    },
    /// Non-idempotent call that may have been sent.
    Sent {
        /// Endpoint it was sent to.
        #[serde(rename = "worker")]
        endpoint: EndpointName,
        /// Boot of that endpoint; a refusal proves nothing if it comes from another boot.
        boot: u64,
        /// Instance that sent it.
        sender: InstanceName,
    },
    /// Over.
    Ended {
        /// How.
        outcome: Outcome,
    },
}

/// Largest answer, in bytes of JSON, that a row holds; larger ones go to the object store.
pub const ROW_ANSWER_BYTES_MAX: usize = 16 * 1024;

/// A job as the table holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job's name.
    pub id: JobId,
    /// What was asked.
    pub spec: JobSpec,
    /// SHA-256 of the submitted body, as hex, to tell a repeat from a conflict.
    pub digest: String,
    /// Pool that plans it.
    pub pool: PoolName,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// How far it has come.
    #[serde(flatten)]
    pub phase: Phase,
    /// Whether its caller wants it ended.
    #[serde(default)]
    pub cancel: bool,
    /// Whether any attempt was released, so that it may have run.
    #[serde(default)]
    pub started: bool,
    /// Object that holds the newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// Object that holds the answer of a completed job, if it is too large for the row; the row's answer is null then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored: Option<String>,
    /// W3C `traceparent` of the submitting request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
}

impl JobRow {
    /// Moves a large answer out of the row; the name and content of the object to write before the row.
    pub fn detach_answer(&mut self) -> Option<(String, Vec<u8>)> {
        let Phase::Ended {
            outcome: Outcome::Completed { answer },
        } = &mut self.phase
        else {
            return None;
        };
        let bytes = serde_json::to_vec(answer)
            .ok()
            .filter(|bytes| bytes.len() > ROW_ANSWER_BYTES_MAX)?;
        let name = format!("answer/{}/{}", self.id, self.attempt);
        *answer = serde_json::Value::Null;
        self.stored = Some(name.clone());
        Some((name, bytes))
    }

    /// Puts an answer back that was moved out.
    pub fn attach_answer(&mut self, bytes: &[u8]) -> Result<(), serde_json::Error> {
        if let Phase::Ended {
            outcome: Outcome::Completed { answer },
        } = &mut self.phase
        {
            *answer = serde_json::from_slice(bytes)?;
            self.stored = None;
        }
        Ok(())
    }
}
