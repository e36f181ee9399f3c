//! Tables in the store.

use crate::graph::Phase;

/// Accepted jobs by id, written by the instance that took them; the id with [`CANCEL_SUFFIX`] marks a cancelled one.
pub const INTAKE: &str = "intake";

/// Ending of the key of a cancellation.
pub const CANCEL_SUFFIX: &str = ".x";

/// What callers are told, by job id; written on acceptance and then by the leader.
pub const PHASE: &str = "phase";

/// State of jobs that have been started, by job id; written by the leader.
pub const RECORD: &str = "record";

/// Number of jobs that have not begun, by queue; written by the leader.
pub const PENDING: &str = "pending";

/// What the leader has learned of speeds and work; written by it now and then.
pub const LEARNED: &str = "learned";

/// The present leader; renewed by it.
pub const LEAD: &str = "lead";

/// Fencing token; replaced with each transaction of the leader.
pub const LEDGER: &str = "ledger";

/// Content of a row of [`PHASE`].
pub fn encode_phase(phase: Phase, team: &str) -> Vec<u8> {
    let mut value = vec![phase.code()];
    value.extend_from_slice(team.as_bytes());
    value
}

/// Phase and team of a row of [`PHASE`].
pub fn decode_phase(value: &[u8]) -> Option<(Phase, &str)> {
    let (code, team) = value.split_first()?;
    Some((Phase::from_code(*code)?, std::str::from_utf8(team).ok()?))
}
