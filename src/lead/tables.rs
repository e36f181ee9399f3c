//! Names, keys and values of the tables in the store.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::graph::Phase;
use crate::port::RowKey;

/// Accepted jobs by id, written by the instance that accepted them; a row whose key ends with [`CANCEL_SUFFIX`] cancels
/// the job with that id.
pub const INTAKE: &str = "intake";

/// Suffix that turns a job id into the key of its cancellation.
pub const CANCEL_SUFFIX: &str = ".x";

/// Cancellations of jobs that were not known, by [`withdrawal_keys`]; written by the instance that accepted them. While
/// one of the [`barring_keys`] of a submission is there, the store doesn't apply it.
pub const WITHDRAWN: &str = "withdrawn";

/// Submissions by job id, copied from [`INTAKE`] by the leader, so that the next leader can resume known jobs without
/// reading the partitions of [`INTAKE`].
pub const JOB: &str = "job";

/// Phase reported to callers, by job id; written by the leader, absent until the leader first stores the job.
pub const PHASE: &str = "phase";

/// Scheduling state of jobs, by job id; written by the leader.
pub const RECORD: &str = "record";

/// Number of waiting jobs by queue; written by the leader.
pub const PENDING: &str = "pending";

/// Speeds of endpoints and amounts of work that the leader has estimated; written periodically by the leader.
pub const LEARNED: &str = "learned";

/// Bounds of leases on endpoints that are silent.
pub const BOUNDS: &str = "bounds";

/// Heartbeat of the leader, and offers to replace it.
pub const LEAD: &str = "lead";

/// Ledger row with the fencing token of the leader; replaced by each of its transactions on the leader's tables.
pub const LEDGER: &str = "ledger";

/// Number of partitions of [`INTAKE`]. A store that is sixty times as slow as usual applies about five transactions a
/// second in one partition, fewer than the jobs that arrive. Separate partitions keep transactions for callers from
/// delaying those of the leader, which uses the unnamed partition.
const INTAKE_PARTITIONS: u8 = 8;

/// Partition of [`INTAKE`] that holds the rows of a job.
pub fn intake_partition(id: &str) -> Arc<str> {
    let digest = Sha256::digest(id.as_bytes());
    Arc::from((digest[0] % INTAKE_PARTITIONS).to_string())
}

/// All partitions of [`INTAKE`].
pub(super) fn intake_partitions() -> impl Iterator<Item = Arc<str>> {
    (0..INTAKE_PARTITIONS).map(|number| Arc::from(number.to_string()))
}

/// Suffix of the row of [`WITHDRAWN`] that a cancellation by any team writes.
const ANY_TEAM: &str = "any";

/// Keys of the rows of [`WITHDRAWN`] that a cancellation by a team writes, in the partition of the job.
pub fn withdrawal_keys(id: &str, team: &str, key_digest: Option<&[u8; 32]>) -> Vec<RowKey> {
    let mut suffixes = vec![team_suffix(team), ANY_TEAM.to_owned()];
    suffixes.extend(key_digest.map(|digest| key_suffix(id, digest)));
    withdrawal_rows(id, suffixes)
}

/// Keys of the rows of [`WITHDRAWN`] each of which bars a submission by a team: those of the callers that could cancel the
/// job once it is stored, and those of the same key, which may belong to another team by now. The former are the team and
/// callers without one; a job without a team can be cancelled by all.
pub fn barring_keys(id: &str, team: &str, key_digest: Option<&[u8; 32]>) -> Vec<RowKey> {
    if team.is_empty() {
        return withdrawal_rows(id, vec![team_suffix(team), ANY_TEAM.to_owned()]);
    }
    let mut suffixes = vec![team_suffix(team), team_suffix("")];
    suffixes.extend(key_digest.map(|digest| key_suffix(id, digest)));
    withdrawal_rows(id, suffixes)
}

fn withdrawal_rows(id: &str, suffixes: Vec<String>) -> Vec<RowKey> {
    let rows = suffixes.into_iter();
    rows.map(|suffix| RowKey::new(WITHDRAWN, format!("{id}.{suffix}")))
        .collect()
}

/// Suffix for a team: a digest of its name, since the length of keys is limited.
fn team_suffix(team: &str) -> String {
    hex_start(&Sha256::digest(team.as_bytes()))
}

/// Suffix for the key of a caller. It differs between jobs, so that the rows don't tell which jobs have the same key.
fn key_suffix(id: &str, key_digest: &[u8; 32]) -> String {
    let digest = Sha256::new().chain_update(key_digest).chain_update(id).finalize();
    format!("key.{}", hex_start(&digest))
}

/// The first 8 bytes of a digest in hexadecimal.
fn hex_start(digest: &[u8]) -> String {
    let number = digest
        .iter()
        .take(8)
        .fold(0_u64, |number, byte| number << 8 | u64::from(*byte));
    format!("{number:016x}")
}

/// Encodes the value of a row of [`PHASE`].
pub fn encode_phase(phase: Phase, team: &str) -> Vec<u8> {
    let mut value = vec![phase.code()];
    value.extend_from_slice(team.as_bytes());
    value
}

/// Phase and team in the value of a row of [`PHASE`].
pub fn decode_phase(value: &[u8]) -> Option<(Phase, &str)> {
    let (code, team) = value.split_first()?;
    Some((Phase::from_code(*code)?, std::str::from_utf8(team).ok()?))
}
