//! Tables in the store.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::graph::Phase;

/// Accepted jobs by id, written by the instance that took them; the id with [`CANCEL_SUFFIX`] marks a cancelled one.
pub const INTAKE: &str = "intake";

/// Ending of the key of a cancellation.
pub const CANCEL_SUFFIX: &str = ".x";

/// Jobs that a leader has taken in, by id; the leader's copy of their submission, so that the next one needs no other
/// partition to go on with them.
pub const JOB: &str = "job";

/// What callers are told, by job id; written by the leader from the first change on.
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

/// Partitions of [`INTAKE`]. A store that is sixty times as slow as usual carries out about five transactions a second in
/// one partition, fewer than the jobs that arrive; those of callers must not hold up those of the leader, which uses the
/// unnamed partition.
const INTAKE_PARTITIONS: u8 = 8;

/// Partition of the rows of a job in [`INTAKE`].
pub fn intake_partition(id: &str) -> Arc<str> {
    let digest = Sha256::digest(id.as_bytes());
    Arc::from((digest[0] % INTAKE_PARTITIONS).to_string())
}

/// All partitions of [`INTAKE`].
pub(super) fn intake_partitions() -> impl Iterator<Item = Arc<str>> {
    (0..INTAKE_PARTITIONS).map(|at| Arc::from(at.to_string()))
}

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
