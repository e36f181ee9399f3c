//! Takes work off endpoints that are about to leave.
//!
//! Whatever runs on an endpoint when it leaves is lost. What can't end in time is stopped: at once if it starts again from
//! nothing, and as late as its checkpoint can still be read if it resumes.

use std::sync::Arc;

use super::{Dispatcher, UnitState};

/// How far the time that is left may be exceeded by the estimate for work without checkpoints. Estimates are off by a factor
/// of about 1.5 once a queue is known, and endpoints stay for the time that they tell, at least.
const DOUBT: f64 = 1.5;

impl Dispatcher {
    /// Stops what would be lost with the endpoints that leave.
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
                let left = self.remaining_ms(job, placed_run.unit, now);
                let stops = if step.lasting {
                    true
                } else if step.checkpoints {
                    left > remaining && remaining <= self.tuning.claim_to_start_ms
                } else {
                    left as f64 > DOUBT * remaining as f64
                };
                if stops {
                    log::info!(job:% = placed_run.job, unit = placed_run.unit, endpoint:% = name, remaining, left; "evacuates");
                    lost.push((Arc::clone(&placed_run.job), placed_run.unit));
                }
            }
        }
        for (job, unit) in lost {
            self.stop_unit(&job, unit, "its endpoint leaves", now);
        }
    }
}
