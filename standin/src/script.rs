//! What a stand-in task does, as its job's payload says.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Behaviour of a task or call. Fields that are absent from the payload have the defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Script {
    /// Time that the work takes at speed 1, in milliseconds.
    pub work_ms: u64,
    /// Answer; for a gang, each member returns it.
    pub answer: Value,
    /// Reason to fail with at the end of the work.
    pub fail: Option<String>,
    /// Parts in which a call's answer is sent.
    pub parts: u32,
    /// Time that a checkpoint takes, in milliseconds.
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
    /// Reads a payload; one that is no script means a task that ends at once.
    pub fn read(payload: &Value) -> Self {
        Self::deserialize(payload).unwrap_or_default()
    }
}
