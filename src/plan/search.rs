//! Search for seats that are free now, anywhere or inside the team's guarantee, and their score.

use super::book::flexible;
use super::cells::{self, Piece};
use super::endpoint::Worker;
use super::place::{self, Offer};
use super::{QueuedJob, Scheduler, cell};
use crate::job::{Adjacency, Seat, Shape};
use crate::team::Level;
use crate::time::Millis;

/// Speeds differ by this factor; a worker that is slower by it has the worst completion score.
const SPEED_RANGE: f64 = 4.0;
/// Cost of using accelerators that another team may reclaim, against a fragmentation score of at most 1; a job that
/// cannot resume would lose all its work.
const BORROW_COST: f64 = 0.3;
/// The same for a job that checkpoints.
const RESUMABLE_BORROW_COST: f64 = 0.05;
/// Cost of using accelerators or cores that are kept for a reservation.
const KEPT_COST: f64 = 0.5;
/// Cost of using a worker with accelerators for members that need none.
const WASTE_COST: f64 = 2.0;
/// In a fleet of this many workers a job does not return to one on which it failed: a broken worker is always free and
/// would get it again, and other workers tell whether the job or the worker is to blame.
const AVOID_FROM: usize = 8;
/// Part of the fragmentation score that concerns the worker; the rest concerns its rack.
const WORKER_PART: f64 = 0.7;

/// Workers looked at for a better place of an unused cell; the search runs for most jobs with a guarantee.
const MOVES_MAX: usize = 32;

impl Scheduler {
    /// Score of a worker for a shape; the lowest is best.
    pub(super) fn cost(&self, worker: &Worker, job: &QueuedJob, members: u64) -> f64 {
        let shape = &job.shape;
        let slower = (self.fleet.fastest / worker.speed - 1.0) / (SPEED_RANGE - 1.0);
        let mut cost = self.weights.completion * slower.clamp(0.0, 1.0);
        let all = worker.mask.count_ones();
        if shape.accelerators == 0 {
            if all > 0 {
                cost += WASTE_COST;
            }
            let used = worker.load.cores as f64 / f64::from(worker.spec.cores.max(1));
            cost += self.weights.fragmentation * (1.0 - used);
        } else {
            let left = u64::from(worker.free().count_ones()).saturating_sub(members * u64::from(shape.accelerators));
            let rack = &self.fleet.racks()[worker.rack];
            let inside = left as f64 / f64::from(all.max(1));
            let around = f64::from(rack.free) / f64::from(rack.total.max(1));
            cost += self.weights.fragmentation * (WORKER_PART * inside + (1.0 - WORKER_PART) * around);
        }
        cost
    }

    /// Whether a worker takes no new member of a job now.
    pub(super) fn avoids(&self, now: Millis, worker: &Worker, job: &QueuedJob) -> bool {
        worker.paused > now
            || (self.health.has_failed(&job.id)
                && self.fleet.workers().len() >= AVOID_FROM
                && self.health.failed_on(&job.id, &worker.spec.name))
    }

    /// Whether a job may use what is kept for a reservation: it ends before, or can be preempted with a checkpoint.
    fn may_use_kept(&self, now: Millis, job: &QueuedJob, firm: bool) -> bool {
        let Some(held) = &self.reservation else {
            return true;
        };
        if held.job == job.id || (job.checkpoints && !firm) {
            return true;
        }
        now + self.estimates.bound(&job.team, &job.kind, job.declared) <= held.at
    }

    /// Free seats anywhere; the job becomes a borrower.
    pub(super) fn find_anywhere(&self, now: Millis, job: &QueuedJob) -> Option<Vec<Seat>> {
        let shape = &job.shape;
        let kept = self.may_use_kept(now, job, false);
        let own = self.reservation.as_ref().is_some_and(|held| held.job == job.id);
        let whole = shape.adjacent == Adjacency::Worker;
        let want = if whole { u64::from(shape.members) } else { 1 };
        let mut offers = Vec::new();
        for (index, worker) in self.fleet.with_free(u32::from(shape.accelerators)) {
            if self.avoids(now, worker, job) {
                continue;
            }
            let mut free = worker.free() & !worker.cells;
            let mut extra = 0.0;
            let mut members = worker.spared_members(shape, free);
            if members < want {
                free = worker.free();
                extra += if job.checkpoints {
                    RESUMABLE_BORROW_COST
                } else {
                    BORROW_COST
                };
                members = worker.spared_members(shape, free);
                free &= !worker.kept;
            }
            if members < want && kept {
                free = worker.free();
                extra += if own { 0.0 } else { KEPT_COST };
                members = worker.members(shape, free);
            }
            if members < want || members == 0 {
                continue;
            }
            let cost = extra + self.cost(worker, job, members);
            offers.push(Offer {
                worker: index,
                members,
                free,
                cost,
            });
        }
        let offers = place::choose(&self.fleet, shape, offers)?;
        place::seats(&self.fleet, shape, &offers)
    }

    /// Free seats inside the team's guarantee; unused cells are moved to free accelerators first.
    pub(super) fn find_inside(&mut self, now: Millis, job: &QueuedJob, urgent: bool) -> Option<Vec<Seat>> {
        let kept = urgent || self.may_use_kept(now, job, true);
        if job.shape.accelerators == 0 {
            return self.find_firm_cores(now, job, kept);
        }
        if !self.has_unused(job) {
            return None;
        }
        self.attract(now, job, kept);
        self.find_in_cells(now, job, kept)
    }

    /// Whether enough accelerators of the team's guarantee are unused.
    pub(super) fn has_unused(&self, job: &QueuedJob) -> bool {
        let mut unused = 0;
        for &index in self.cells.of(&job.team) {
            unused += self.cells.loose(&self.fleet, index);
        }
        unused > 0 && unused >= job.shape.total_accelerators()
    }

    fn find_in_cells(&self, now: Millis, job: &QueuedJob, kept: bool) -> Option<Vec<Seat>> {
        let mut offers = Vec::new();
        for (index, own) in self.cells.own(&job.team) {
            let worker = self.fleet.worker(index);
            if !worker.usable() || self.avoids(now, worker, job) {
                continue;
            }
            let mut free = worker.free() & own;
            let mut members = worker.members(&job.shape, free);
            if !kept {
                members = worker.spared_members(&job.shape, free);
                free &= !worker.kept;
            }
            members = members.min(worker.firm_members(&job.shape, own, free));
            if members == 0 {
                continue;
            }
            let cost = self.cost(worker, job, members);
            offers.push(Offer {
                worker: index,
                members,
                free,
                cost,
            });
        }
        let offers = place::choose(&self.fleet, &job.shape, offers)?;
        place::seats(&self.fleet, &job.shape, &offers)
    }

    /// Cores for a job that needs no accelerators and cannot be stopped: they must not take other teams' shares.
    fn find_firm_cores(&self, now: Millis, job: &QueuedJob, kept: bool) -> Option<Vec<Seat>> {
        if flexible(job) && self.cells.of(&job.team).is_empty() {
            return None;
        }
        let own = self.cells.own(&job.team);
        let mut offers = Vec::new();
        for (index, worker) in self.fleet.with_free(0) {
            let own = own.get(&index).copied().unwrap_or(0);
            // A job that could borrow stays off other teams' workers; one that cannot takes what no cell needs.
            if self.avoids(now, worker, job) || (flexible(job) && own == 0) {
                continue;
            }
            let members = if kept {
                worker.members(&job.shape, 0)
            } else {
                worker.spared_members(&job.shape, 0)
            };
            let members = members.min(worker.firm_members(&job.shape, own, 0));
            if members == 0 {
                continue;
            }
            let cost = self.cost(worker, job, members);
            offers.push(Offer {
                worker: index,
                members,
                free: 0,
                cost,
            });
        }
        let offers = place::choose(&self.fleet, &job.shape, offers)?;
        place::seats(&self.fleet, &job.shape, &offers)
    }

    /// Moves a team's unused cells to the best free accelerators, as many as a job needs.
    fn attract(&mut self, now: Millis, job: &QueuedJob, kept: bool) {
        let need = job.shape.total_accelerators();
        let mut found = 0;
        for index in self.cells.of(&job.team).to_vec() {
            if found >= need {
                break;
            }
            let cell = self.cells.cell(index);
            let (level, size) = (cell.level, cell.size);
            if self.cells.used(&self.fleet, index) {
                continue;
            }
            let usable = |worker: &Worker| {
                let free = worker.free();
                if kept { free } else { free & !worker.kept }
            };
            match level {
                Level::Worker if size < u32::from(job.shape.accelerators) => continue,
                Level::Worker => {
                    let free_cost = |worker: &Worker, mask: u64| {
                        let fits = !self.avoids(now, worker, job) && mask & !usable(worker) == 0;
                        let members = worker.members(&job.shape, mask);
                        (fits && members > 0).then(|| self.cost(worker, job, members))
                    };
                    if let Some(best) = self.best_move(index, size, true, &usable, free_cost) {
                        self.move_cell(index, best);
                    }
                }
                Level::Rack => self.attract_rack(index, size, &usable),
            }
            let mut free = true;
            for piece in &self.cells.cell(index).pieces {
                free &= piece.mask & !usable(self.fleet.worker(piece.worker)) == 0;
            }
            if free {
                found += size;
            }
        }
    }

    fn attract_rack<F>(&mut self, index: usize, size: u32, usable: &F)
    where
        F: Fn(&Worker) -> u64,
    {
        let mut free = true;
        for piece in &self.cells.cell(index).pieces {
            free &= piece.mask & !usable(self.fleet.worker(piece.worker)) == 0;
        }
        if free && self.cells.cell(index).count() >= size {
            return;
        }
        let pieces = self.cells.lift(&mut self.fleet, index);
        let found = cells::rack_spot(&self.fleet, size, |worker| {
            if usable(worker) == worker.mask {
                cells::unbroken(worker)
            } else {
                0
            }
        });
        self.cells.lay(&mut self.fleet, index, &found.unwrap_or(pieces));
    }

    /// Cheapest place for an unused cell of one worker: where it is, in spare accelerators, or that of an equal cell.
    pub(super) fn best_move<U, C>(&self, index: usize, size: u32, free: bool, wanted: &U, cost: C) -> Option<Move>
    where
        U: Fn(&Worker) -> u64,
        C: Fn(&Worker, u64) -> Option<f64>,
    {
        let mut best: Option<(f64, Move)> = None;
        let mut offer = |cost: Option<f64>, to: Move| {
            if let Some(cost) = cost
                && best.is_none_or(|(least, _)| cost < least)
            {
                best = Some((cost, to));
            }
        };
        let whole = self.cells.sound(&self.fleet, index);
        if let [piece] = self.cells.cell(index).pieces[..] {
            let worker = self.fleet.worker(piece.worker);
            if worker.usable() {
                offer(cost(worker, piece.mask), Move::Stay);
            }
        }
        let (least, most) = if free { (size, MOVES_MAX) } else { (0, usize::MAX) };
        for (number, worker) in self.fleet.with_free(least).take(most) {
            for &other in self.cells.on(number) {
                let cell = self.cells.cell(other);
                let equal = cell.size == size && cell.level == Level::Worker && other != index;
                let [piece] = cell.pieces[..] else { continue };
                if equal && whole && !self.cells.used(&self.fleet, other) {
                    offer(cost(worker, piece.mask), Move::Swap(other));
                }
            }
            let spare = worker.spare();
            if spare.count_ones() < size || !worker.roomy(size) {
                continue;
            }
            let mask = cell::pick(spare & wanted(worker), size).or_else(|| cell::pick(spare, size));
            if let Some(mask) = mask {
                offer(cost(worker, mask), Move::To(Piece { worker: number, mask }));
            }
        }
        best.map(|(_, to)| to)
    }

    pub(super) fn move_cell(&mut self, index: usize, to: Move) {
        match to {
            Move::Stay => {}
            Move::Swap(other) => self.cells.swap(&mut self.fleet, index, other),
            Move::To(piece) => {
                self.cells.lift(&mut self.fleet, index);
                self.cells.lay(&mut self.fleet, index, &[piece]);
                self.cells.bad.remove(&index);
            }
        }
    }

    /// Whether a shape could ever be held by workers that are there or were lost a short while ago.
    pub(super) fn possible(&mut self, now: Millis, shape: &Shape) -> bool {
        if let Some(&known) = self.shapes.get(shape) {
            return known;
        }
        let known = place::possible(&self.fleet, shape, now);
        self.shapes.insert(*shape, known);
        known
    }
}

/// Where an unused cell goes.
#[derive(Debug, Clone, Copy)]
pub(super) enum Move {
    /// It stays.
    Stay,
    /// It changes places with this cell.
    Swap(usize),
    /// It goes here.
    To(Piece),
}
