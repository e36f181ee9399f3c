//! Room for the units of a job in its stored record.
//!
//! The store limits the size of a row, and a leader whose record of one job exceeds it can store nothing any more. So units
//! are not placed while the record could outgrow its row; they wait until others of their job have ended.

use super::endpoint_view::EndpointView;
use super::{Job, UnitState};

/// Size that a record may reach, in bytes. A row may have 64 KiB.
const RECORD_BYTES_MAX: usize = 60_000;

/// Number of tasks below which the record of a job stays smaller than its row, whatever the names of the endpoints.
const UNLIMITED_TASKS: u32 = 200;

/// Size of a checkpoint that is expected before the first one of a job is known, in bytes.
const CHECKPOINT_BYTES: usize = 32;

/// Room that is left in the record of a job.
#[derive(Debug)]
pub(super) struct RecordRoom {
    left: usize,
    /// Longest name of an endpoint on which a unit may be placed, in bytes.
    name_bytes: usize,
    /// Longest checkpoint of the job, in bytes.
    checkpoint_bytes: usize,
    /// No unit of the job holds room on endpoints, so one may be placed however large its record is.
    idle: bool,
}

impl RecordRoom {
    /// Room in the record of `job`, whose units may be placed on the endpoints `views`; `None` for a job whose record always
    /// fits.
    pub fn of(job: &Job, views: &[EndpointView]) -> Option<Self> {
        if job.units.iter().map(|unit| unit.size).sum::<u32>() < UNLIMITED_TASKS {
            return None;
        }
        let names = views.iter().map(|view| view.name.len());
        let name_bytes = names.max().unwrap_or(0);
        let checkpoints = job.units.iter().map(|unit| unit.checkpoint.len());
        let checkpoint_bytes = checkpoints.fold(CHECKPOINT_BYTES, usize::max);
        let mut used = 0;
        let mut idle = true;
        for (position, unit) in job.units.iter().enumerate() {
            let active = unit.state == UnitState::Active;
            idle &= !active;
            used += if active && job.step(position).checkpoints {
                unit.record_bytes()
                    .max(unit.active_record_bytes(name_bytes, checkpoint_bytes))
            } else {
                unit.record_bytes()
            };
        }
        Some(Self {
            left: RECORD_BYTES_MAX.saturating_sub(used),
            name_bytes,
            checkpoint_bytes,
            idle,
        })
    }

    /// Number of units like the one at `position` for which there is room.
    pub fn units(&self, job: &Job, position: usize) -> usize {
        let units = self.left / self.growth(job, position).max(1);
        if self.idle { units.max(1) } else { units }
    }

    /// Takes the room of a unit that is about to be placed.
    pub fn take(&mut self, job: &Job, position: usize) {
        self.left = self.left.saturating_sub(self.growth(job, position));
        self.idle = false;
    }

    /// Size by which the record grows when a unit is placed.
    fn growth(&self, job: &Job, position: usize) -> usize {
        let unit = &job.units[position];
        let checkpoint_bytes = if job.step(position).checkpoints {
            self.checkpoint_bytes
        } else {
            0
        };
        let placed = unit.active_record_bytes(self.name_bytes, checkpoint_bytes);
        placed.saturating_sub(unit.record_bytes())
    }
}
