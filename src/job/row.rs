//! Rows of jobs.

use serde::{Deserialize, Serialize};

use super::{JobSpec, Outcome};
use crate::name::{EndpointName, InstanceName, JobId, PoolName};

/// Endpoint and accelerators that are assigned to a gang member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat {
    /// The endpoint.
    #[serde(rename = "worker")]
    pub endpoint: EndpointName,
    /// Indices of the assigned accelerators.
    pub accelerators: Vec<u16>,
}

/// Phase of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Waits for placement.
    Queued,
    /// Has seats; members are being prepared and nothing runs.
    Placed {
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats count towards the team's guarantee.
        guaranteed: bool,
    },
    /// All members hold their seats and have been or are being released.
    Running {
        /// One seat for each member.
        seats: Vec<Seat>,
        /// Whether the seats count towards the team's guarantee.
        guaranteed: bool,
    },
    /// Non-idempotent call that may have been sent.
    Sent {
        /// Endpoint that the call was sent to.
        #[serde(rename = "worker")]
        endpoint: EndpointName,
        /// Boot of that endpoint; a refusal from another boot proves nothing.
        boot: u64,
        /// Instance that sent the call.
        sender: InstanceName,
    },
    /// Has ended.
    Ended {
        /// How the job ended.
        outcome: Outcome,
    },
}

/// Largest answer that is stored in a row, in bytes of JSON; larger ones go to the object store.
pub const ROW_ANSWER_BYTES_MAX: usize = 16 * 1024;

/// A job as stored in the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Id of the job.
    pub id: JobId,
    /// Specification, as submitted.
    pub spec: JobSpec,
    /// SHA-256 of the submitted body, in hexadecimal; tells a repeated submission from a conflicting one.
    pub digest: String,
    /// Pool that plans the job.
    pub pool: PoolName,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// Current phase.
    #[serde(flatten)]
    pub phase: Phase,
    /// Whether the caller has requested cancellation.
    #[serde(default)]
    pub cancel: bool,
    /// Whether any attempt was released; the job may have run then.
    #[serde(default)]
    pub started: bool,
    /// Object that holds the newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// Object that holds the answer of a completed job that is too large for the row; the row's answer is null then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored: Option<String>,
    /// W3C `traceparent` of the submitting request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
}

impl JobRow {
    /// Moves a large answer out of the row. Returns the name and content of the object, which must be written before
    /// the row.
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

    /// Restores an answer that [`Self::detach_answer`] moved out of the row.
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
