//! Reasons for which no job of a pool starts at present.

use std::fmt;

use serde::Serialize;

/// Why no unit would start now, whatever is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldUp {
    /// The pool is on standby.
    Standby,
    /// The leader is about to give up its lead.
    Paused,
    /// Failure domains may have been closed unknown to the leader.
    ClosuresUnknown,
}

impl fmt::Display for HoldUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Standby => "the pool is on standby",
            Self::Paused => "the leader gives up its lead",
            Self::ClosuresUnknown => "closed failure domains are not known",
        })
    }
}
