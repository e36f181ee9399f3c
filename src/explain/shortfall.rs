//! What becomes of the first unit of a step that does not fit.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use super::VictimNote;

/// What the next round would do for the first unit that does not fit.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Shortfall {
    /// Stop other units and keep their resources for it.
    Preempt {
        /// Endpoints that it would take.
        endpoints: Vec<Arc<str>>,
        /// Units that would be stopped.
        victims: Vec<VictimNote>,
    },
    /// Reserve the endpoints on which it can start soonest.
    Reserve {
        /// These endpoints; empty if it fits nowhere even when all runs have ended.
        endpoints: Vec<Arc<str>>,
        /// Time until it is expected to start, in milliseconds.
        start_in_ms: u64,
    },
    /// Ask the advice service for tickets.
    RequestAdvice,
    /// Wait for room.
    Wait,
    /// Wait until the record of the job has room for a further run.
    RecordFull,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Preempt { endpoints, victims } => {
                write!(f, "preempts others on {}:", endpoints.join(", "))?;
                for victim in victims {
                    let VictimNote { job, team, unit, cost } = victim;
                    write!(
                        f,
                        " unit {unit} of job {job} of team {team} ({cost:.0} core-seconds lost)"
                    )?;
                }
                Ok(())
            }
            Self::Reserve { endpoints, .. } if endpoints.is_empty() => f.write_str("waits and fits nowhere"),
            Self::Reserve { endpoints, start_in_ms } => {
                write!(
                    f,
                    "reserves {}, start expected in {start_in_ms} ms",
                    endpoints.join(", ")
                )
            }
            Self::RequestAdvice => f.write_str("requests advice"),
            Self::Wait => f.write_str("waits for room"),
            Self::RecordFull => f.write_str("waits until its record has room"),
        }
    }
}
