//! Kinds of jobs.

use serde::{Deserialize, Serialize};

use crate::job::Class;

/// A kind of job that teams may be allowed to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Class that a job of this kind must have.
    pub class: Class,
    /// Description for operators.
    #[serde(default)]
    pub about: String,
}
