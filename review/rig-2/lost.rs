//! The rule LOST: work that waits although there is room for it.

use std::collections::{BTreeMap, BTreeSet};

use crate::workers::{Event, Fleet};

/// Time without a run from which the rule is broken.
pub const IDLE_MS: u64 = 3_000;
/// Time after the last run of a task that lasts from which [`IDLE_MS`] counts.
pub const RESTART_MS: u64 = 6_000;

/// What runs between two events.
pub struct Span {
    pub from: u64,
    pub to: u64,
    /// Worker by running task.
    pub running: BTreeMap<String, usize>,
}

/// The spans between the events, up to `until`.
pub fn spans(events: &[Event], until: u64) -> Vec<Span> {
    let mut spans = Vec::new();
    let mut running: BTreeMap<String, usize> = BTreeMap::new();
    let mut from = 0;
    for event in events {
        spans.push(Span {
            from,
            to: event.at,
            running: running.clone(),
        });
        from = event.at;
        if event.starts {
            running.insert(event.task.clone(), event.worker);
        } else {
            running.remove(&event.task);
        }
    }
    spans.push(Span {
        from,
        to: until,
        running,
    });
    spans
}

/// Whether there is room for `tasks` tasks of a job twice over on the `allowed` workers, while less than half of the
/// service's accelerators, processors and memory is in use.
pub fn has_room(fleet: &Fleet, span: &Span, job: &str, tasks: u64, allowed: &BTreeSet<usize>) -> bool {
    let jobs = fleet.jobs.lock().unwrap();
    let capacity = fleet.capacity();
    let mut used: BTreeMap<usize, (u64, u64, u64)> = BTreeMap::new();
    let mut total = (0, 0, 0);
    for (task, worker) in &span.running {
        let need = &jobs[task.split('.').next().unwrap_or_default()];
        let on = used.entry(*worker).or_default();
        *on = (on.0 + need.cpu, on.1 + need.mem_mb, on.2 + need.gpu);
        total = (total.0 + need.cpu, total.1 + need.mem_mb, total.2 + need.gpu);
    }
    let count = fleet.ids().len() as u64;
    let below_half =
        2 * total.0 < count * capacity.0 && 2 * total.1 < count * capacity.1 && 2 * total.2 < count * capacity.2;
    let need = &jobs[job];
    let fitting = |worker: &usize| {
        let used = used.get(worker).copied().unwrap_or_default();
        let times = |whole: u64, used: u64, need: u64| whole.saturating_sub(used).checked_div(need).unwrap_or(u64::MAX);
        times(capacity.0, used.0, need.cpu)
            .min(times(capacity.1, used.1, need.mem_mb))
            .min(times(capacity.2, used.2, need.gpu))
    };
    below_half && allowed.iter().map(fitting).sum::<u64>() >= 2 * tasks
}
