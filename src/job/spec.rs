//! Specifications of jobs.

use serde::{Deserialize, Serialize};

use super::Shape;
use crate::name::{KindName, PoolName, TeamName};

/// Class of a job, which determines how it is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short request; the caller waits for its answer.
    Call,
    /// Job that is queued and placed as a gang; the caller asks for its outcome later.
    Batch,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team that the job is accounted to.
    pub team: TeamName,
    /// Kind of job; the team must be allowed to run it.
    pub kind: KindName,
    /// Call or batch.
    pub class: Class,
    /// Whether the job can safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Resources that the gang needs.
    #[serde(default)]
    pub shape: Shape,
    /// Declared run time in seconds; 0 if not declared.
    #[serde(default)]
    pub run_time_s: u64,
    /// Deadline in seconds after acceptance: a batch job must have started by then, a call ended; 0 for none.
    #[serde(default)]
    pub deadline_s: u64,
    /// Whether the job can be stopped at a checkpoint and resumed.
    #[serde(default)]
    pub checkpoints: bool,
    /// Whether the job claims its team's guarantee and may preempt borrowers.
    #[serde(default)]
    pub urgent: bool,
    /// Pool to run in; chosen by the instance if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
    /// Input, passed to the endpoint unchanged.
    #[serde(default)]
    pub payload: serde_json::Value,
}
