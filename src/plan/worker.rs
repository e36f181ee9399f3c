//! What the core knows of one worker.

use super::{WorkerSpec, cell};
use crate::job::Shape;
use crate::name::JobId;

/// A member that holds a place.
#[derive(Debug, Clone)]
pub(super) struct Task {
    /// Its job.
    pub job: JobId,
    /// Its accelerators.
    pub mask: u64,
    /// Whether it lies in its team's guarantee.
    pub firm: bool,
}

/// A worker and what is taken there.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    /// As reported.
    pub spec: WorkerSpec,
    /// Number of its rack.
    pub rack: usize,
    /// Number of its domain.
    pub domain: usize,
    /// Whether it is there.
    pub up: bool,
    /// Whether it is to get nothing new.
    pub leaving: bool,
    /// Whether it is in quarantine.
    pub quarantined: bool,
    /// All accelerators.
    pub mask: u64,
    /// Held accelerators.
    pub held: u64,
    /// Accelerators held inside guarantees.
    pub firm: u64,
    /// Accelerators that are being vacated for a claimant.
    pub claimed: u64,
    /// Cores taken or claimed.
    pub cores: u64,
    /// Memory taken or claimed, in megabytes.
    pub memory: u64,
    /// Slots taken or claimed.
    pub slots: u64,
    /// Members that run here.
    pub tasks: Vec<Task>,
}

impl Worker {
    pub(super) fn new(spec: WorkerSpec, rack: usize, domain: usize) -> Self {
        Self {
            mask: cell::whole(spec.accelerators),
            spec,
            rack,
            domain,
            up: true,
            leaving: false,
            quarantined: false,
            held: 0,
            firm: 0,
            claimed: 0,
            cores: 0,
            memory: 0,
            slots: 0,
            tasks: Vec::new(),
        }
    }

    /// Whether it may get new work.
    pub(super) fn usable(&self) -> bool {
        self.up && !self.leaving && !self.quarantined
    }

    /// Free accelerators.
    pub(super) fn free(&self) -> u64 {
        self.mask & !self.held & !self.claimed
    }

    /// Members of a shape that the cores, memory and slots left over can hold.
    pub(super) fn room(&self, shape: &Shape) -> u64 {
        let mut room = u64::from(self.spec.slots).saturating_sub(self.slots);
        let cores = u64::from(self.spec.cores).saturating_sub(self.cores);
        if let Some(fit) = cores.checked_div(u64::from(shape.cores)) {
            room = room.min(fit);
        }
        let memory = self.spec.memory_mb.saturating_sub(self.memory);
        if let Some(fit) = memory.checked_div(shape.memory_mb) {
            room = room.min(fit);
        }
        room
    }

    /// Members of a shape that fit now, given the accelerators that may be used.
    pub(super) fn members(&self, shape: &Shape, free: u64) -> u64 {
        let room = self.room(shape).min(u64::from(shape.members));
        match u64::from(free.count_ones()).checked_div(u64::from(shape.accelerators)) {
            Some(fit) => room.min(fit),
            None => room,
        }
    }

    /// Members of a shape that fit when nothing runs here.
    pub(super) fn empty_members(&self, shape: &Shape) -> u64 {
        let bare = Self::new(self.spec.clone(), self.rack, self.domain);
        bare.members(shape, bare.mask)
    }

    /// Takes cores, memory and a slot for one member.
    pub(super) fn take(&mut self, shape: &Shape) {
        self.cores += u64::from(shape.cores);
        self.memory += shape.memory_mb;
        self.slots += 1;
    }

    /// Gives back cores, memory and the slot of one member.
    pub(super) fn give(&mut self, shape: &Shape) {
        self.cores = self.cores.saturating_sub(u64::from(shape.cores));
        self.memory = self.memory.saturating_sub(shape.memory_mb);
        self.slots = self.slots.saturating_sub(1);
    }

    /// Records a member whose cores, memory and slot are taken already.
    pub(super) fn hold(&mut self, task: Task) {
        self.held |= task.mask;
        if task.firm {
            self.firm |= task.mask;
        }
        self.tasks.push(task);
    }

    /// Forgets all members of a job; says how many there were.
    pub(super) fn release(&mut self, job: &JobId) -> usize {
        let before = self.tasks.len();
        self.tasks.retain(|task| task.job != *job);
        self.held = 0;
        self.firm = 0;
        for task in &self.tasks {
            self.held |= task.mask;
            if task.firm {
                self.firm |= task.mask;
            }
        }
        before - self.tasks.len()
    }
}
