//! Positions of the units of a job by state, so that a round looks only at the units that it may change.

use std::collections::{BTreeMap, BTreeSet};

use super::{Unit, UnitState};

/// Positions of the units of a job by state, and the number of units of each step that are not done.
#[derive(Debug, Clone, Default)]
pub(super) struct UnitIndex {
    pub waiting: BTreeSet<usize>,
    pub active: BTreeSet<usize>,
    pub terminating: BTreeSet<usize>,
    /// By occurrence and step; steps that are done are left out.
    unfinished: BTreeMap<(u32, usize), usize>,
}

impl UnitIndex {
    /// Index of the given units.
    pub fn new(units: &[Unit]) -> Self {
        let mut index = Self::default();
        for (position, unit) in units.iter().enumerate() {
            if let Some(positions) = index.positions(unit.state) {
                positions.insert(position);
            }
            if unit.state != UnitState::Done {
                *index.unfinished.entry((unit.occurrence, unit.step)).or_default() += 1;
            }
        }
        index
    }

    /// Notes that the unit at `position` changes from its present state to `to`.
    pub fn update(&mut self, position: usize, unit: &Unit, to: UnitState) {
        if let Some(positions) = self.positions(unit.state) {
            positions.remove(&position);
        }
        if let Some(positions) = self.positions(to) {
            positions.insert(position);
        }
        let step_key = (unit.occurrence, unit.step);
        if to == UnitState::Done
            && unit.state != UnitState::Done
            && let Some(count) = self.unfinished.get_mut(&step_key)
        {
            *count -= 1;
            if *count == 0 {
                self.unfinished.remove(&step_key);
            }
        }
    }

    /// Whether all units of a step are done.
    pub fn is_step_done(&self, occurrence: u32, step: usize) -> bool {
        !self.unfinished.contains_key(&(occurrence, step))
    }

    /// Whether all units are done.
    pub fn is_done(&self) -> bool {
        self.unfinished.is_empty()
    }

    fn positions(&mut self, state: UnitState) -> Option<&mut BTreeSet<usize>> {
        match state {
            UnitState::Waiting => Some(&mut self.waiting),
            UnitState::Active => Some(&mut self.active),
            UnitState::Terminating => Some(&mut self.terminating),
            UnitState::Done => None,
        }
    }
}
