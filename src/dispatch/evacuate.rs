//! Moves work off endpoints that are about to leave.
//!
//! Runs on an endpoint are lost when it leaves, so those that cannot end in time are stopped: at once if they have no
//! checkpoints and restart from scratch, otherwise just early enough for the last checkpoint to be read.

use std::sync::Arc;

use super::round::remaining_ms;
use super::{Dispatcher, UnitState};

/// Factor by which the estimated time of a run without checkpoints may exceed the time that its endpoint stays.
/// Estimates are off by a factor of about 1.5 once a queue is known, and endpoints stay at least as long as they
/// announce.
const ESTIMATE_ERROR_MAX: f64 = 1.5;

impl Dispatcher {
    /// Stops the units that would be lost on draining endpoints.
    pub(super) fn evacuate(&mut self, now: u64) {
        let mut lost = Vec::new();
        for (name, endpoint) in &self.endpoints {
            let Some(leaves) = endpoint.leaves_at.filter(|_| endpoint.entry.draining) else {
                continue;
            };
            let remaining = leaves.saturating_sub(now);
            for placed_run in endpoint.runs.values() {
                let Some(job) = self.jobs.get(&placed_run.job) else {
                    continue;
                };
                if job.units[placed_run.unit].state != UnitState::Active {
                    continue;
                }
                let step = job.step(placed_run.unit);
                let left = remaining_ms(job, placed_run.unit, &self.work_estimates, now);
                let stops = if step.lasting {
                    true
                } else if step.checkpoints {
                    left > remaining && remaining <= self.tuning.claim_to_start_ms
                } else {
                    left as f64 > ESTIMATE_ERROR_MAX * remaining as f64
                };
                if stops {
                    log::info!(job:% = placed_run.job, unit = placed_run.unit, endpoint:% = name, remaining, left; "unit stopped before its endpoint leaves");
                    lost.push((Arc::clone(&placed_run.job), placed_run.unit));
                }
            }
        }
        for (job, unit) in lost {
            self.stop_unit(&job, unit, "its endpoint leaves", now);
        }
    }
}
