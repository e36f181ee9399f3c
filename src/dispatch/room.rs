//! Demand for whole endpoints: what large tasks use and wait for, and how many empty endpoints others leave to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::pool_view::PoolView;
use super::{Dispatcher, Job};
use crate::graph::Step;
use crate::room::{Forecast, Usage};

/// Part of the accelerators of an endpoint from which on a task counts as large: on an endpoint that small tasks share it
/// seldom finds that much.
const LARGE_SHARE: f64 = 0.5;

/// Time between two log lines on the demand, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

impl Dispatcher {
    /// Notes which endpoints large tasks use and wait for.
    pub(super) fn observe_room(&mut self, now: u64, wall_ms: u64) {
        let mut accelerators: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.listed) {
            let most = accelerators.entry(&endpoint.entry.pool).or_default();
            *most = endpoint.entry.capacity.accelerators.max(*most);
        }
        let mut usages: BTreeMap<(Arc<str>, u32), Usage> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(queue) = job.queue.as_ref().filter(|_| !job.phase.is_final()) else {
                continue;
            };
            let Some(whole) = accelerators.get(&queue.pool).filter(|whole| **whole > 0) else {
                continue;
            };
            if !job.submission.graph.steps.iter().any(|step| is_large(step, *whole)) {
                continue;
            }
            let found = usage(job, *whole, now, wall_ms);
            let sum = usages.entry((Arc::clone(&queue.pool), queue.priority)).or_default();
            sum.used += found.used;
            sum.awaited += found.awaited;
        }
        self.rooms.observe(&usages, now);
    }

    /// Logs the demand from time to time.
    pub(super) fn log_rooms(&mut self, now: u64) {
        if now < self.rooms_log_due {
            return;
        }
        self.rooms_log_due = now + LOG_INTERVAL_MS;
        for ((pool, priority), forecast) in self.rooms.forecasts() {
            let (used, peak) = (forecast.used().round(), forecast.peak().round());
            log::info!(pool:% = pool, priority, used, peak; "large tasks need whole endpoints");
        }
    }

    /// Endpoints that large tasks of all classes need at their usual peaks.
    pub fn large_task_peak(&self) -> f64 {
        self.rooms.forecasts().values().map(Forecast::peak).sum()
    }

    /// Number of empty endpoints that a job leaves to those of higher priority. In a pool that is half idle it leaves none,
    /// since users allow no waiting there.
    pub(super) fn kept_empty(&self, job: &Job, views: &PoolView) -> u32 {
        let Some(queue) = job.queue.as_ref().filter(|_| !views.is_idle()) else {
            return 0;
        };
        self.rooms.kept_empty(&queue.pool, queue.priority, views.len())
    }
}

/// Whether each task of a step takes much of an endpoint with `whole` accelerators.
fn is_large(step: &Step, whole: u64) -> bool {
    share(step, whole) >= LARGE_SHARE
}

/// Part of an endpoint with `whole` accelerators that each task of a step takes.
fn share(step: &Step, whole: u64) -> f64 {
    (step.accelerators as f64 / whole as f64).min(1.0)
}

/// Endpoints with `whole` accelerators that the large tasks of a job need.
fn usage(job: &Job, whole: u64, now: u64, wall_ms: u64) -> Usage {
    let endpoints = |position: usize| share(job.step(position), whole) * f64::from(job.units[position].size);
    let mut usage = Usage::default();
    for position in job.index.active.iter().chain(&job.index.terminating).copied() {
        if is_large(job.step(position), whole) {
            usage.used += endpoints(position);
        }
    }
    for position in job.index.waiting.iter().copied() {
        let is_ready = job.units[position].not_before <= now && job.is_due(position, wall_ms);
        if is_ready && is_large(job.step(position), whole) {
            usage.awaited += endpoints(position);
        }
    }
    usage
}
