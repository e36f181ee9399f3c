//! What a caller asks for.

use serde::{Deserialize, Serialize};

use super::Shape;
use crate::name::{KindName, PoolName, TeamName};

/// How a job is carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short request whose answer the caller waits for.
    Call,
    /// Job that is queued, placed as a gang and looked up later.
    Batch,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team that pays for the job.
    pub team: TeamName,
    /// Kind of job; the team must be allowed to run it.
    pub kind: KindName,
    /// Call or batch.
    pub class: Class,
    /// Whether running it twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// What the gang needs.
    #[serde(default)]
    pub shape: Shape,
    /// Declared run time in seconds; 0 means not declared.
    #[serde(default)]
    pub run_time_s: u64,
    /// Seconds after acceptance in which the job must have started (batch) or ended (call); 0 means none.
    #[serde(default)]
    pub deadline_s: u64,
    /// Whether the job can be stopped at a checkpoint and resumed.
    #[serde(default)]
    pub checkpoints: bool,
    /// Whether the job claims its team's guarantee and may preempt borrowers.
    #[serde(default)]
    pub urgent: bool,
    /// Pool to run in; chosen by the system if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
    /// Input handed to the endpoint unchanged.
    #[serde(default)]
    pub payload: serde_json::Value,
}
