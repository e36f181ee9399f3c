//! Kinds of jobs.

use serde::{Deserialize, Serialize};

use crate::job::Class;

/// A kind of job that teams may be allowed to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Call or batch; a job's class must match.
    pub class: Class,
    /// Sentence for the operators.
    #[serde(default)]
    pub about: String,
}
