//! A job and its units.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::unit_index::UnitIndex;
use super::{AdviceTickets, StepSpeeds, Unit, UnitState, WorkEstimates};
use crate::graph::{JobRecord, Phase, Step, Submission, TaskName};
use crate::port::{Queue, Resources};

/// An accepted job that has not ended, or has runs that may still exist.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id.
    pub id: Arc<str>,
    /// What was accepted.
    pub submission: Submission,
    /// Team that submitted it.
    pub team: Arc<str>,
    /// Payload that each task receives.
    pub payload: Arc<str>,
    /// Last known settings of its queue; `None` before a configuration as new as that of its acceptance.
    pub queue: Option<Arc<Queue>>,
    /// Units of all occurrences, in the order of occurrences and steps.
    pub units: Vec<Unit>,
    /// Positions of the units by state.
    pub(super) index: UnitIndex,
    /// Phase that callers see.
    pub phase: Phase,
    /// Kind of the tasks of each step.
    kinds: Vec<Arc<str>>,
    /// Speed measurements of each step.
    pub step_speeds: Vec<StepSpeeds>,
    /// Advice tickets by occurrence and step, if its queue needs them.
    pub tickets: BTreeMap<(u32, usize), AdviceTickets>,
    /// The submission has been stored along with the record.
    pub submission_stored: bool,
    /// Phase as last stored; `None` if none is known to be.
    pub(super) stored_phase: Option<Phase>,
    /// Its final phase is known to be stored.
    pub end_stored: bool,
    /// Since when units of an occurrence and step have been waiting although twice the resources that they need are
    /// free elsewhere, in milliseconds.
    pub idle_since: BTreeMap<(u32, usize), u64>,
    /// When it was accepted, on the dispatcher's clock, in milliseconds.
    pub accepted_at: u64,
    /// Longest of the waits that are logged for it so far, in milliseconds.
    pub(super) wait_logged_ms: u64,
}

impl Job {
    /// Creates a job and restores its units from the stored record, if there is one.
    pub fn new(
        id: Arc<str>,
        submission: Submission,
        record: Option<&JobRecord>,
        phase: Phase,
        age_ms: u64,
        now: u64,
    ) -> Self {
        let mut units = Vec::new();
        for occurrence in 0..submission.graph.occurrences() {
            for (index, step) in submission.graph.steps.iter().enumerate() {
                for unit in 0..step.units() {
                    units.push(Unit::new(occurrence, index, unit, step.members()));
                }
            }
        }
        for saved in record.map(|record| &*record.units).unwrap_or_default() {
            let Some(unit) = units.get_mut(saved.position as usize) else {
                log::warn!(job:% = id, position = saved.position; "stored unit has no counterpart in the job graph; ignored");
                continue;
            };
            let (occurrence, step) = (unit.occurrence, unit.step as u32);
            let name = |index| task_name(&id, occurrence, step, index);
            unit.restore(saved, name, now);
        }
        let kinds = submission.graph.steps.iter().map(|step| Arc::from(&*step.image));
        Self {
            kinds: kinds.collect(),
            team: Arc::from(&*submission.team),
            payload: Arc::from(&*submission.graph.payload),
            id,
            step_speeds: vec![StepSpeeds::default(); submission.graph.steps.len()],
            submission,
            queue: None,
            index: UnitIndex::new(&units),
            units,
            phase,
            tickets: BTreeMap::new(),
            submission_stored: record.is_some(),
            stored_phase: record.map(|_| phase),
            end_stored: false,
            idle_since: BTreeMap::new(),
            accepted_at: now.saturating_sub(age_ms),
            wait_logged_ms: 0,
        }
    }

    /// Changes the state of a unit.
    pub(super) fn set_state(&mut self, position: usize, state: UnitState) {
        self.index.update(position, &self.units[position], state);
        self.units[position].state = state;
    }

    /// Step of a unit.
    pub fn step(&self, unit: usize) -> &Step {
        &self.submission.graph.steps[self.units[unit].step]
    }

    /// Kind of the tasks of a unit: their image; empty without one. Tasks of one image behave alike, those of a queue need not.
    pub fn kind(&self, unit: usize) -> &Arc<str> {
        &self.kinds[self.units[unit].step]
    }

    /// Whether it may preempt others.
    pub fn is_urgent(&self) -> bool {
        self.queue.as_ref().is_some_and(|queue| queue.priority == 0)
    }

    /// Accelerators of all steps of one occurrence; this is what counts against a guarantee.
    pub fn accelerator_demand(&self) -> u64 {
        let steps = &self.submission.graph.steps;
        steps
            .iter()
            .map(|step| u64::from(step.count).saturating_mul(step.accelerators))
            .fold(0, u64::saturating_add)
    }

    /// Name of the task that a member of a unit runs.
    pub fn task(&self, unit: usize, member: u32) -> Arc<str> {
        let unit = &self.units[unit];
        task_name(&self.id, unit.occurrence, unit.step as u32, unit.first_task + member)
    }

    /// Expected work of each task of a step, in milliseconds on a typical endpoint.
    pub fn expected_ms(&self, step: &Step, work_estimates: &WorkEstimates) -> f64 {
        work_estimates.expected_ms(&self.submission.queue, step.estimate_ms)
    }

    /// Position of the unit that a task belongs to.
    pub fn unit_of(&self, task: &TaskName) -> Option<usize> {
        self.units.iter().position(|unit| {
            unit.occurrence == task.occurrence
                && unit.step == task.step as usize
                && (unit.first_task..unit.first_task + unit.size).contains(&task.index)
        })
    }

    /// Resources that each task of a unit takes.
    pub fn need(&self, unit: usize) -> Resources {
        need(self.step(unit))
    }

    /// Whether the occurrence of a unit is due and all steps that it depends on have ended.
    pub fn is_due(&self, unit: usize, wall_ms: u64) -> bool {
        let waiting = &self.units[unit];
        if self.submission.graph.due_ms(waiting.occurrence) > wall_ms {
            return false;
        }
        let after = &self.step(unit).after;
        after
            .iter()
            .all(|step| self.index.is_step_done(waiting.occurrence, *step as usize))
    }

    /// State to store.
    pub fn record(&self) -> JobRecord {
        let units = self.units.iter().enumerate();
        JobRecord {
            units: units.filter_map(|(position, unit)| unit.record(position)).collect(),
        }
    }

    /// Whether none of its runs can exist any more.
    pub fn all_gone(&self) -> bool {
        self.units.iter().all(Unit::all_gone)
    }
}

/// Resources that each task of a step takes; fillers use only processor time that others leave, so they count none.
pub fn need(step: &Step) -> Resources {
    Resources {
        millicores: if step.filler { 0 } else { step.millicores },
        memory_mb: step.memory_mb,
        accelerators: step.accelerators,
    }
}

fn task_name(job: &Arc<str>, occurrence: u32, step: u32, index: u32) -> Arc<str> {
    let name = TaskName {
        job: Arc::clone(job),
        occurrence,
        step,
        index,
    };
    Arc::from(name.to_string())
}

/// Number of cores that a task is worth when its work is weighed against others; an accelerator counts as eight cores.
pub(super) fn core_equivalents(need: &Resources) -> f64 {
    need.millicores as f64 / 1_000.0 + 8.0 * need.accelerators as f64
}
