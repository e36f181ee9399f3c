//! The order in which waiting units get room.

use std::cmp::Ordering;

use super::{Job, WorkEstimates};

/// Share of the expected time that a job takes at least; fast endpoints and errors of the estimate make the difference.
const BEST_CASE_SHARE: f64 = 0.6;

/// Place of a job in the order; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Rank {
    /// Urgent jobs, then those that can be in time by priority, then the late ones by priority.
    class: u32,
    /// Time by which it should be done, in milliseconds.
    due: u64,
}

impl Rank {
    /// Ranks a job at `now`.
    pub fn of(job: &Job, work_estimates: &WorkEstimates, now: u64) -> Self {
        let (priority, stretch, slack) = job.queue.as_ref().map_or((u32::MAX / 4, 1.0, 0), |queue| {
            (queue.priority, queue.stretch, queue.slack_ms)
        });
        let chain = job.submission.graph.chain(|step| job.expected_ms(step, work_estimates));
        let due = job.accepted_at + (chain * stretch) as u64 + slack;
        let late = now as f64 + chain * BEST_CASE_SHARE > due as f64;
        let class = match (priority, late) {
            (0, false) => 0,
            (0, true) => 1,
            (_, false) => 2 + priority,
            // A late job earns little; it must not delay one that can be in time.
            (_, true) => u32::MAX / 2 + priority,
        };
        Self { class, due }
    }

    /// Whether the job may preempt others.
    pub fn is_urgent(&self) -> bool {
        self.class < 2
    }

    /// Whether the job is late already.
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
