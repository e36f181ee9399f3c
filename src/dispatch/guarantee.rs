//! Guarantees: which urgent jobs may preempt others at any cost, and from when on.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Dispatcher, Job};

impl Dispatcher {
    /// Urgent jobs that are within the guarantees of their teams: each counts with those that were accepted before it, so that
    /// a later job of its team does not change whether it is.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<Arc<str>> {
        let mut by_acceptance: Vec<&Job> = self.urgent_jobs().collect();
        by_acceptance.sort_unstable_by(|a, b| acceptance(a).cmp(&acceptance(b)));
        let mut demands: BTreeMap<&str, u64> = BTreeMap::new();
        let mut guaranteed = BTreeSet::new();
        for job in by_acceptance {
            let demand = demands.entry(&job.team).or_default();
            *demand = demand.saturating_add(job.accelerator_demand());
            if *demand <= self.guaranteed_accelerators(&job.team) {
                guaranteed.insert(Arc::clone(&job.id));
            }
        }
        guaranteed
    }

    /// Urgent jobs that have not ended.
    fn urgent_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs
            .values()
            .filter(|job| job.is_urgent() && !job.phase.is_final())
    }

    /// Accelerators that a team is guaranteed.
    pub(super) fn guaranteed_accelerators(&self, team: &str) -> u64 {
        self.config.teams.get(team).map_or(0, |team| team.guaranteed)
    }

    /// Whether preemption has to begin now, at any cost, for a guaranteed job to start in time.
    pub(super) fn guarantee_is_due(&self, id: &Arc<str>, now: u64) -> bool {
        now.saturating_sub(self.jobs[id].accepted_at) + self.tuning.reclaim_lead_ms >= self.tuning.reclaim_ms
    }

    /// Logs each urgent job with a waiting unit once when preemption for its guarantee is due, and once when the bound of
    /// the guarantee has passed.
    pub(super) fn log_urgent_waits(&mut self, now: u64) {
        let due_ms = self.tuning.reclaim_ms.saturating_sub(self.tuning.reclaim_lead_ms);
        let bound_ms = self.tuning.reclaim_ms;
        let mut logged = Vec::new();
        for job in self.urgent_jobs() {
            let waited_ms = now.saturating_sub(job.accepted_at);
            let reached_ms = if waited_ms >= bound_ms { bound_ms } else { due_ms };
            if job.index.waiting.is_empty() || waited_ms < due_ms || job.wait_logged_ms >= reached_ms {
                continue;
            }
            self.log_urgent_wait(job, waited_ms, now);
            logged.push((Arc::clone(&job.id), reached_ms));
        }
        for (id, reached_ms) in logged {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.wait_logged_ms = reached_ms;
            }
        }
    }

    fn log_urgent_wait(&self, job: &Job, waited_ms: u64, now: u64) {
        let (mut team_demand, mut earlier_demand, mut report_age_ms) = (0_u64, 0_u64, 0);
        for other in self.urgent_jobs().filter(|other| other.team == job.team) {
            team_demand = team_demand.saturating_add(other.accelerator_demand());
            if acceptance(other) < acceptance(job) {
                earlier_demand = earlier_demand.saturating_add(other.accelerator_demand());
            }
            for member in other.units.iter().flat_map(|unit| &unit.members) {
                let clock = self.endpoints.get(&member.endpoint).and_then(|endpoint| endpoint.clock);
                if let Some((_, read_at)) = clock.filter(|_| member.holds_room()) {
                    report_age_ms = now.saturating_sub(read_at).max(report_age_ms);
                }
            }
        }
        let first = (Arc::clone(&job.id), 0);
        let claims = self
            .claims
            .range(first..)
            .take_while(|((id, _), _)| *id == job.id)
            .count();
        log::info!(
            job:% = job.id,
            team:% = job.team,
            waited_ms,
            demand = job.accelerator_demand(),
            earlier_demand,
            team_demand,
            guaranteed = self.guaranteed_accelerators(&job.team),
            units = job.index.waiting.len(),
            claims,
            config_version = self.config.version,
            report_age_ms;
            "urgent job is waiting"
        );
    }
}

/// Order in which jobs were accepted.
fn acceptance(job: &Job) -> (u64, &str) {
    (job.accepted_at, &job.id)
}
