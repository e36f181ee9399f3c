//! Units: the tasks of a job that start and end together.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Member, MemberState};
use crate::graph::{Place, UnitRecord};

/// Bound on the size of a unit in the record of its job without its checkpoint and places, in bytes.
const UNIT_BYTES: usize = 28;

/// Bound on the size of a place without the name of the endpoint, in bytes.
const PLACE_BYTES: usize = 28;

/// State of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitState {
    /// Not placed yet, or its last run is gone without having succeeded.
    Waiting,
    /// Placed; its members are starting or running.
    Active,
    /// Its run was given up, and some members may still exist.
    Terminating,
    /// Ended successfully.
    Done,
}

/// A gang, or a single task.
#[derive(Debug, Clone)]
pub struct Unit {
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: usize,
    /// Index of its first task within the step.
    pub first_task: u32,
    /// Number of tasks.
    pub size: u32,
    /// State; changed by [`Job::set_state`](super::Job), which keeps the index of states.
    pub state: UnitState,
    /// Number of the last run whose start may have been sent.
    pub run: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// The last run is one of them.
    pub last_run_failed: bool,
    /// Newest known checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Members of the last run.
    pub members: Vec<Member>,
    /// When the last run was placed, in milliseconds.
    pub placed_at: u64,
    /// When its last run was given up, in milliseconds.
    pub given_up_at: u64,
    /// Why its last run was given up; empty if none was.
    pub given_up_why: &'static str,
    /// Earliest time of the next start, in milliseconds.
    pub not_before: u64,
    /// Endpoints on which it has failed.
    pub avoid: BTreeSet<Arc<str>>,
}

impl Unit {
    /// Creates a unit that has never been started.
    pub fn new(occurrence: u32, step: usize, first_task: u32, size: u32) -> Self {
        Self {
            occurrence,
            step,
            first_task,
            size,
            state: UnitState::Waiting,
            run: 0,
            failures: 0,
            last_run_failed: false,
            checkpoint: Arc::from(""),
            members: Vec::new(),
            placed_at: 0,
            given_up_at: 0,
            given_up_why: "",
            not_before: 0,
            avoid: BTreeSet::new(),
        }
    }

    /// Restores the stored state; `name` gives the task name for an index within the step.
    pub fn restore<F>(&mut self, record: &UnitRecord, name: F, now: u64)
    where
        F: Fn(u32) -> Arc<str>,
    {
        self.run = record.run;
        self.failures = record.failures;
        self.last_run_failed = record.last_run_failed;
        self.checkpoint = Arc::from(&*record.checkpoint);
        self.placed_at = now;
        for (offset, place) in &record.places {
            let task = name(self.first_task + offset);
            let endpoint = Arc::from(&*place.endpoint);
            let member = Member::new(*offset, endpoint, place.born, task, MemberState::Recovered, now);
            self.members.push(member);
        }
        self.state = if record.done {
            UnitState::Done
        } else if self.members.len() == self.size as usize {
            UnitState::Active
        } else if self.members.is_empty() {
            UnitState::Waiting
        } else {
            UnitState::Terminating
        };
    }

    /// State to store; `None` if it was never started.
    pub fn record(&self, position: usize) -> Option<UnitRecord> {
        if self.run == 0 && self.state != UnitState::Done {
            return None;
        }
        let mut places = BTreeMap::new();
        for member in &self.members {
            // A successor need not track leftover runs of a unit that is done, since no new run of it is started.
            if !member.holds_room() || self.state == UnitState::Done {
                continue;
            }
            let place = Place {
                endpoint: member.endpoint.to_string(),
                born: member.born,
            };
            places.insert(member.index, place);
        }
        let done = self.state == UnitState::Done;
        Some(UnitRecord {
            position: position as u32,
            done,
            run: self.run,
            failures: self.failures,
            last_run_failed: self.last_run_failed,
            checkpoint: if done {
                String::new()
            } else {
                self.checkpoint.to_string()
            },
            places,
        })
    }

    /// Bound on the size of its record, in bytes.
    pub(super) fn record_bytes(&self) -> usize {
        if self.run == 0 && self.state != UnitState::Done {
            return 0;
        }
        if self.state == UnitState::Done {
            return UNIT_BYTES;
        }
        let members = self.members.iter().filter(|member| member.holds_room());
        let places: usize = members.map(|member| PLACE_BYTES + member.endpoint.len()).sum();
        UNIT_BYTES + self.checkpoint.len() + places
    }

    /// Bound on the size of its record while it runs on endpoints with names of up to `name_bytes` bytes, if its
    /// checkpoint has up to `checkpoint_bytes`.
    pub(super) fn active_record_bytes(&self, name_bytes: usize, checkpoint_bytes: usize) -> usize {
        UNIT_BYTES + self.checkpoint.len().max(checkpoint_bytes) + self.size as usize * (PLACE_BYTES + name_bytes)
    }

    /// Begins the next run.
    pub(super) fn next_run(&mut self) {
        self.run += 1;
        self.last_run_failed = false;
    }

    /// Number of runs before the present one that were given up without having failed.
    pub(super) fn stops(&self) -> u32 {
        self.run.saturating_sub(1).saturating_sub(self.failures)
    }

    /// Counts the last run as failed, once however many of its members fail.
    pub(super) fn run_failed(&mut self) {
        self.failures += u32::from(!self.last_run_failed);
        self.last_run_failed = true;
    }

    /// Whether all members are known to be gone.
    pub fn all_gone(&self) -> bool {
        self.members.iter().all(|member| !member.holds_room())
    }
}
