//! Reading of stored jobs, and their form for callers.

use serde::Deserialize;

use super::AcceptError;
use crate::api::{JobState, JobView};
use crate::job::{Class, JobRow, Phase};
use crate::name::JobId;
use crate::platform::{Objects, OpId, Table, Version};
use crate::row::key;

/// A job's row with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// Decoded content.
    pub row: JobRow,
    /// Version of the row.
    pub version: Version,
    /// Transaction that wrote the row.
    pub op: OpId,
}

/// Reads a job's row; `None` if there is no such job.
pub fn read_job(table: &dyn Table, id: &JobId) -> Result<Option<StoredJob>, AcceptError> {
    let row = table
        .read(&[key::job(id)])
        .map_err(AcceptError::Lookup)?
        .into_iter()
        .next()
        .flatten();
    let Some(row) = row else { return Ok(None) };
    match JobRow::deserialize(&row.value) {
        Ok(decoded) => Ok(Some(StoredJob {
            row: decoded,
            version: row.version,
            op: row.op,
        })),
        Err(_) => Err(AcceptError::Format(row.key)),
    }
}

/// Converts a job's row for callers; an answer kept in the object store is fetched.
pub fn view_job(objects: &dyn Objects, mut row: JobRow) -> Result<JobView, AcceptError> {
    if let Some(object) = row.stored.clone() {
        let bytes = objects.get(&object).map_err(AcceptError::Answer)?;
        row.attach_answer(&bytes)
            .map_err(|_error| AcceptError::Format(key::job(&row.id)))?;
    }
    let mut endpoints = Vec::new();
    let mut outcome = None;
    let state = match row.phase {
        Phase::Queued => JobState::Queued,
        Phase::Placed { seats, .. } => {
            endpoints.extend(seats.into_iter().map(|seat| seat.endpoint));
            JobState::Starting
        }
        Phase::Running { seats, .. } => {
            endpoints.extend(seats.into_iter().map(|seat| seat.endpoint));
            JobState::Running
        }
        Phase::Sent { endpoint, .. } => {
            endpoints.push(endpoint);
            JobState::Running
        }
        Phase::Ended { outcome: ended } => {
            outcome = Some(ended);
            JobState::Ended
        }
    };
    let is_cancelling = row.cancel && state != JobState::Ended;
    Ok(JobView {
        id: row.id,
        state: if is_cancelling { JobState::Cancelling } else { state },
        outcome,
        attempt: row.attempt,
        pool: (row.spec.class == Class::Batch).then_some(row.pool),
        endpoints,
        trace: row.trace,
    })
}
