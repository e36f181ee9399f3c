//! Objects of the configuration.

use serde::{Deserialize, Serialize};

use super::{Kind, Pool, Team};

/// One object that a ticket can set or remove.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "sort", rename_all = "lowercase")]
pub enum Object {
    /// A team.
    Team(Team),
    /// A kind of job.
    Kind(Kind),
    /// A pool.
    Pool(Pool),
}
