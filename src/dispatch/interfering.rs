//! Kinds of tasks that slow each other down: what is measured, and which endpoints a placement takes last.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::crowding::Crowding;
use super::endpoint::PlacedRun;
use super::pool_view::PoolView;
use super::{Dispatcher, Job, MemberState};
use crate::port::RunningTask;

/// Runs of a report by task and run number.
type Running<'r> = BTreeMap<(&'r str, u32), &'r RunningTask>;

/// Time between two updates of the pairs that are kept apart, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Least time between two observations of the tail latencies on an endpoint, in milliseconds; they change within seconds, and
/// closer ones would count the same load several times.
const TAIL_INTERVAL_MS: u64 = 10_000;

impl Dispatcher {
    /// Learns from the speeds that a report gives, as run, step and logarithm of estimate over duration, and from its tail
    /// latencies.
    pub(super) fn learn_from_report(
        &mut self,
        name: &Arc<str>,
        running: &Running<'_>,
        speeds: Vec<(PlacedRun, usize, f64)>,
        now: u64,
    ) {
        let mut measured = self.tails(name, running, now);
        for (placed_run, step, log_ratio) in speeds {
            let Some(log_speed) = self.learn_speed(name, &placed_run.job, step, log_ratio) else {
                continue;
            };
            if !placed_run.kind.is_empty() && self.is_first_comparison(&placed_run) {
                measured.push((placed_run.kind, log_speed));
            }
        }
        if measured.is_empty() {
            return;
        }
        let kinds = self.running_kinds(name, running);
        for (kind, log_speed) in measured {
            let others = kinds.iter().filter(|(found, runs)| **found != kind || **runs > 1);
            let beside: BTreeSet<Arc<str>> = others.map(|(found, _)| Arc::clone(found)).collect();
            self.interference.observe(&kind, log_speed, &beside, now);
        }
    }

    /// Whether the speed of a run has not been compared before. Later measurements of a run depend on the first, and would
    /// count as evidence several times.
    fn is_first_comparison(&mut self, placed_run: &PlacedRun) -> bool {
        let job = self.jobs.get_mut(&placed_run.job);
        let unit = job.and_then(|job| job.units.get_mut(placed_run.unit));
        let member = unit.and_then(|unit| unit.members.get_mut(placed_run.member));
        member.is_some_and(|member| !std::mem::replace(&mut member.compared, true))
    }

    /// Kinds of the lasting tasks with a bound on their tail latency, and the logarithms of the inverse latencies.
    fn tails(&mut self, name: &Arc<str>, running: &Running<'_>, now: u64) -> Vec<(Arc<str>, f64)> {
        let mut tails = Vec::new();
        let Some(endpoint) = self.endpoints.get_mut(name).filter(|found| now >= found.tails_due) else {
            return tails;
        };
        endpoint.tails_due = now + TAIL_INTERVAL_MS;
        for ((task, run), placed_run) in &endpoint.runs {
            let Some(found) = running.get(&(&**task, *run)) else {
                continue;
            };
            let Some(job) = self.jobs.get(&placed_run.job).filter(|job| is_running(job, placed_run)) else {
                continue;
            };
            let step = job.step(placed_run.unit);
            let has_kind = !placed_run.kind.is_empty();
            if has_kind && step.lasting && step.tail_latency_max_ms > 0 && found.load > 0.0 {
                tails.push((Arc::clone(&placed_run.kind), -found.load.ln()));
            }
        }
        tails
    }

    /// Number of runs by kind that are running on an endpoint and in its report.
    fn running_kinds(&self, name: &Arc<str>, running: &Running<'_>) -> BTreeMap<Arc<str>, u32> {
        let mut kinds = BTreeMap::new();
        let Some(endpoint) = self.endpoints.get(name) else {
            return kinds;
        };
        for ((task, run), placed_run) in &endpoint.runs {
            if placed_run.kind.is_empty() || !running.contains_key(&(&**task, *run)) {
                continue;
            }
            let job = self.jobs.get(&placed_run.job);
            if job.is_some_and(|job| is_running(job, placed_run)) {
                *kinds.entry(Arc::clone(&placed_run.kind)).or_default() += 1;
            }
        }
        kinds
    }

    /// Updates the pairs that are kept apart.
    pub(super) fn update_interfering(&mut self, now: u64) {
        if now < self.interfering_due {
            return;
        }
        self.interfering_due = now + UPDATE_INTERVAL_MS;
        self.interference.forget(now);
        let mut found = BTreeSet::new();
        for finding in self.interference.findings() {
            let (percent, measurements) = (finding.percent().round(), finding.measurements.round());
            let pair = (finding.kind, finding.beside);
            if !self.interfering.contains(&pair) {
                log::info!(kind:% = pair.0, beside:% = pair.1, percent, measurements; "tasks slow each other down");
            }
            found.insert(pair);
        }
        for (kind, beside) in self.interfering.difference(&found) {
            let effect = self.interference.effect(kind, beside);
            let percent = effect.as_ref().map_or(0.0, |effect| effect.percent().round());
            let measurements = effect.map_or(0.0, |effect| effect.measurements.round());
            log::info!(kind:% = kind, beside:% = beside, percent, measurements; "tasks no longer slow each other down");
        }
        self.interfering = found;
    }

    /// Number of pairs of kinds that are kept apart.
    pub fn interfering_pairs(&self) -> usize {
        self.interfering.len()
    }

    /// Endpoints on which tasks of `kind` would slow others down, or be slowed down.
    pub(super) fn crowding(&self, views: &PoolView, kind: &Arc<str>) -> Crowding {
        let mut kinds = BTreeSet::new();
        for (first, second) in &self.interfering {
            if first == kind {
                kinds.insert(second);
            } else if second == kind {
                kinds.insert(first);
            }
        }
        let mut crowding = Crowding::default();
        if kinds.is_empty() {
            return crowding;
        }
        crowding.own_kind = kinds.contains(kind);
        // Both are ordered by name.
        let mut endpoints = self.endpoints.iter();
        for (index, view) in views.iter().enumerate() {
            let endpoint = endpoints.find(|(name, _)| **name == view.name);
            if endpoint.is_some_and(|(_, endpoint)| kinds.iter().any(|kind| endpoint.kinds.contains_key(*kind))) {
                crowding.endpoints.insert(index);
            }
        }
        crowding
    }
}

/// Whether the start of a run is confirmed and the run is not being stopped.
fn is_running(job: &Job, placed_run: &PlacedRun) -> bool {
    let member = job.units[placed_run.unit].members.get(placed_run.member);
    member.is_some_and(|member| member.state == MemberState::Running)
}
