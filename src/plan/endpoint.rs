//! The scheduler's state of one endpoint.

use super::{EndpointSpec, mask};
use crate::job::Shape;
use crate::name::{JobId, TeamName};
use crate::time::Millis;

/// A member of a job that holds a seat.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a job, read together"
)]
pub(super) struct Task {
    /// The member's job.
    pub job: JobId,
    /// The job's team.
    pub team: TeamName,
    /// Accelerators of the member.
    pub mask: u64,
    /// Whether the seat is inside the team's guarantee.
    pub guaranteed: bool,
    /// The job's shape.
    pub shape: Shape,
    /// Whether the job can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the job has been restarted so often that it is no longer stopped for a gang.
    pub restarts_exhausted: bool,
    /// When the job started, or was placed if it has not started yet.
    pub started: Millis,
    /// When the job is expected to end.
    pub expected_end: Millis,
    /// Whether the job is being stopped.
    pub stopping: bool,
}

/// Resources other than accelerators.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Resources {
    /// Cores.
    pub cores: u64,
    /// Memory, in megabytes.
    pub memory: u64,
    /// Slots.
    pub slots: u64,
}

impl Resources {
    pub(super) fn add(&mut self, shape: &Shape) {
        self.cores += u64::from(shape.cores);
        self.memory += shape.memory_mb;
        self.slots += 1;
    }

    fn subtract(&mut self, shape: &Shape) {
        self.cores = self.cores.saturating_sub(u64::from(shape.cores));
        self.memory = self.memory.saturating_sub(shape.memory_mb);
        self.slots = self.slots.saturating_sub(1);
    }

    fn minus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            slots: self.slots.saturating_sub(other.slots),
        }
    }

    /// The part that is proportional to `some` of `all` accelerators, rounded down.
    fn share(self, some: u64, all: u64) -> Self {
        let part = |amount: u64| amount.saturating_mul(some).checked_div(all).unwrap_or(0);
        Self {
            cores: part(self.cores),
            memory: part(self.memory),
            slots: part(self.slots),
        }
    }

    fn fitting_members(self, shape: &Shape) -> u64 {
        let mut room = self.slots;
        if let Some(fit) = self.cores.checked_div(u64::from(shape.cores)) {
            room = room.min(fit);
        }
        if let Some(fit) = self.memory.checked_div(shape.memory_mb) {
            room = room.min(fit);
        }
        room
    }
}

/// An endpoint and the resources in use on it.
#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    /// Properties as reported.
    pub spec: EndpointSpec,
    /// Index of its rack.
    pub rack: usize,
    /// Index of its domain.
    pub domain: usize,
    /// Whether the endpoint is listed.
    pub up: bool,
    /// Whether the endpoint is leaving and accepts no new work.
    pub leaving: bool,
    /// Whether the endpoint is quarantined.
    pub quarantined: bool,
    /// When the endpoint was lost, if `up` is false.
    pub lost_at: Millis,
    /// The endpoint gets no new work before this time, because it refused a placement.
    pub paused_until: Millis,
    /// Estimated speed relative to the fleet's mean.
    pub speed: f64,
    /// All accelerators.
    pub mask: u64,
    /// Held accelerators.
    pub held: u64,
    /// Accelerators held inside guarantees.
    pub guaranteed: u64,
    /// Accelerators that are being vacated for a claim.
    pub claimed: u64,
    /// Accelerators that belong to guaranteed cells.
    pub cells: u64,
    /// Accelerators promised to the job with the reservation.
    pub reserved: u64,
    /// Other resources promised to that job.
    pub reserved_load: Resources,
    /// Resources held or claimed.
    pub load: Resources,
    /// Resources held inside guarantees.
    pub guaranteed_load: Resources,
    /// Members that hold a seat here.
    pub tasks: Vec<Task>,
}

impl Endpoint {
    pub(super) fn new(spec: EndpointSpec, rack: usize, domain: usize) -> Self {
        Self {
            mask: mask::first(spec.accelerators),
            spec,
            rack,
            domain,
            up: true,
            leaving: false,
            quarantined: false,
            lost_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            speed: 1.0,
            held: 0,
            guaranteed: 0,
            claimed: 0,
            cells: 0,
            reserved: 0,
            reserved_load: Resources::default(),
            load: Resources::default(),
            guaranteed_load: Resources::default(),
            tasks: Vec::new(),
        }
    }

    /// Whether the endpoint accepts new work.
    pub(super) fn usable(&self) -> bool {
        self.up && !self.leaving && !self.quarantined
    }

    /// Free accelerators.
    pub(super) fn free(&self) -> u64 {
        self.mask & !self.held & !self.claimed
    }

    /// Accelerators that belong to no cell and are not held inside a guarantee; a new cell may use them.
    pub(super) fn unassigned(&self) -> u64 {
        self.mask & !self.guaranteed & !self.cells
    }

    /// Total cores, memory and slots.
    pub(super) fn total(&self) -> Resources {
        Resources {
            cores: u64::from(self.spec.cores),
            memory: self.spec.memory_mb,
            slots: u64::from(self.spec.slots),
        }
    }

    /// Number of members that fit now on the accelerators in `free`.
    pub(super) fn fitting_members(&self, shape: &Shape, free: u64) -> u64 {
        fitting(self.total().minus(self.load), shape, free)
    }

    /// Number of members that fit now without using resources promised to the job with the reservation.
    pub(super) fn unreserved_members(&self, shape: &Shape, free: u64) -> u64 {
        let left = self.total().minus(self.load).minus(self.reserved_load);
        fitting(left, shape, free & !self.reserved)
    }

    /// Number of members that fit once the tasks selected by `gone` have ended, on their accelerators and those in
    /// `free`.
    pub(super) fn members_without<F>(&self, shape: &Shape, free: u64, gone: F) -> u64
    where
        F: Fn(&Task) -> bool,
    {
        let mut load = self.load;
        let mut free = free;
        for task in &self.tasks {
            if gone(task) {
                load.subtract(&task.shape);
                free |= task.mask;
            }
        }
        fitting(self.total().minus(load), shape, free & self.mask & !self.claimed)
    }

    /// Number of members that fit once all borrowers have ended, while the unused cells of other teams keep their share
    /// of cores, memory and slots.
    pub(super) fn guaranteed_members(&self, shape: &Shape, own: u64, free: u64) -> u64 {
        let all = u64::from(self.mask.count_ones());
        let others = u64::from((self.cells & !own & !self.guaranteed).count_ones());
        let total = self.total();
        let left = total.minus(total.share(others, all)).minus(self.guaranteed_load);
        fitting(left, shape, free)
    }

    /// Whether a further cell of this size would get its share of cores, memory and slots.
    pub(super) fn has_room_for_cell(&self, size: u32) -> bool {
        let all = u64::from(self.mask.count_ones());
        let unused = u64::from((self.cells & !self.guaranteed).count_ones() + size);
        let share = self.total().share(unused, all);
        let left = self.total().minus(self.guaranteed_load);
        share.cores <= left.cores && share.memory <= left.memory && share.slots <= left.slots
    }

    /// Number of members that fit when nothing else runs here.
    pub(super) fn members_when_empty(&self, shape: &Shape) -> u64 {
        fitting(self.total(), shape, self.mask)
    }

    /// Claims accelerators, cores, memory and a slot for one member.
    pub(super) fn claim(&mut self, shape: &Shape, mask: u64) {
        self.claimed |= mask;
        self.load.add(shape);
    }

    /// Undoes [`Endpoint::claim`].
    pub(super) fn unclaim(&mut self, shape: &Shape, mask: u64) {
        self.claimed &= !mask;
        self.load.subtract(shape);
    }

    pub(super) fn add_task(&mut self, task: Task) {
        self.held |= task.mask;
        self.load.add(&task.shape);
        if task.guaranteed {
            self.guaranteed |= task.mask;
            self.guaranteed_load.add(&task.shape);
        }
        self.tasks.push(task);
    }

    /// Turns a job's guaranteed members into borrowers.
    pub(super) fn demote_to_borrower(&mut self, job: &JobId) {
        for task in &mut self.tasks {
            if task.job == *job && task.guaranteed {
                task.guaranteed = false;
                self.guaranteed &= !task.mask;
                self.guaranteed_load.subtract(&task.shape);
            }
        }
    }

    /// Removes all members of a job.
    pub(super) fn remove_job(&mut self, job: &JobId) {
        let tasks = std::mem::take(&mut self.tasks);
        self.held = 0;
        self.guaranteed = 0;
        for task in tasks {
            if task.job == *job {
                self.load.subtract(&task.shape);
                if task.guaranteed {
                    self.guaranteed_load.subtract(&task.shape);
                }
                continue;
            }
            self.held |= task.mask;
            if task.guaranteed {
                self.guaranteed |= task.mask;
            }
            self.tasks.push(task);
        }
    }
}

fn fitting(left: Resources, shape: &Shape, free: u64) -> u64 {
    let room = left.fitting_members(shape).min(u64::from(shape.members));
    match u64::from(free.count_ones()).checked_div(u64::from(shape.accelerators)) {
        Some(fit) => room.min(fit),
        None => room,
    }
}
