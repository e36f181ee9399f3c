//! Order in which jobs are served in a scheduling round.

use std::cmp::Ordering;

use super::{Job, WorkEstimates};

/// Fraction of the expected time that a job may take at best, on fast endpoints or if it was overestimated.
const BEST_CASE_SHARE: f64 = 0.6;

/// Lowest priority; lower ones of the configuration count as this.
const PRIORITY_MAX: u32 = u32::MAX / 4;

/// Sort key of a job; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Rank {
    /// Urgent jobs come first, then those that can still be in time by priority, then the late ones by priority.
    class: u32,
    /// Time by which the job should be done, in milliseconds.
    due: u64,
}

impl Rank {
    /// Computes the rank of a job at `now`.
    pub fn of(job: &Job, work_estimates: &WorkEstimates, now: u64) -> Self {
        let (priority, stretch, slack) = job.queue.as_ref().map_or((PRIORITY_MAX, 1.0, 0), |queue| {
            (queue.priority.min(PRIORITY_MAX), queue.stretch, queue.slack_ms)
        });
        let chain = job
            .submission
            .graph
            .critical_path(|step| job.expected_ms(step, work_estimates));
        let due = job
            .accepted_at
            .saturating_add((chain * stretch) as u64)
            .saturating_add(slack);
        let late = now as f64 + chain * BEST_CASE_SHARE > due as f64;
        let class = match (priority, late) {
            (0, false) => 0,
            (0, true) => 1,
            (_, false) => 2 + priority,
            // A late job has little value left, so it must not delay one that can be in time.
            (_, true) => u32::MAX / 2 + priority,
        };
        Self { class, due }
    }

    /// Whether the job may preempt others.
    pub fn is_urgent(&self) -> bool {
        self.class < 2
    }

    /// Whether the job can no longer be in time.
    pub fn is_late(&self) -> bool {
        self.class == 1 || self.class >= u32::MAX / 2
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.class, self.due).cmp(&(other.class, other.due))
    }
}
