//! Scripted behavior of a stand-in task, given by its job's payload.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Behavior of a task or call. Fields missing from the payload take their defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Script {
    /// Duration of the work at speed 1, in milliseconds.
    pub work_ms: u64,
    /// Answer; each member of a gang returns it.
    pub answer: Value,
    /// If set, the work ends in a failure with this reason.
    pub fail: Option<String>,
    /// Number of parts in a call's answer.
    pub parts: u32,
    /// Duration of writing a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            work_ms: 0,
            answer: Value::Null,
            fail: None,
            parts: 1,
            checkpoint_ms: 100,
        }
    }
}

impl Script {
    /// Parses a payload; one that is not a script gives the default, a task that completes at once.
    pub fn read(payload: &Value) -> Self {
        Self::deserialize(payload).unwrap_or_default()
    }
}
