//! Search for seats that are free now, anywhere or inside the team's guarantee, and the cost of endpoints.

use super::cells::{self, Piece};
use super::endpoint::Endpoint;
use super::job_entry::preemptible;
use super::place::{self, Offer};
use super::{QueuedJob, Scheduler, mask};
use crate::job::{Adjacency, Seat, Shape};
use crate::team::Level;
use crate::time::Millis;

/// Speeds differ by this factor; an endpoint that is slower than the fastest by it has the maximum completion cost.
const SPEED_RANGE: f64 = 4.0;
/// Cost of using accelerators that another team may reclaim, compared with a fragmentation cost of at most 1; a job
/// that cannot resume would lose all its work.
const BORROW_COST: f64 = 0.3;
/// The same cost for a job that checkpoints.
const RESUMABLE_BORROW_COST: f64 = 0.05;
/// Cost of using accelerators or other resources promised to the job with the reservation.
const RESERVED_COST: f64 = 0.5;
/// Cost of using an endpoint with accelerators for members that need none.
const WASTE_COST: f64 = 2.0;
/// In a fleet of at least this many endpoints, a job is not placed again on an endpoint on which it failed. A broken
/// endpoint is always free and would get the job again, and attempts on other endpoints show whether the fault is in
/// the job or in the endpoint.
const AVOID_FLEET_MIN: usize = 8;
/// Share of the endpoint in the fragmentation cost; the rest is that of its rack.
const ENDPOINT_SHARE: f64 = 0.7;

/// Maximum number of endpoints considered when an unused cell is moved; this search runs for most jobs of teams
/// with a guarantee.
const MOVE_CANDIDATES_MAX: usize = 32;

impl Scheduler {
    /// Cost of placing members of a job on an endpoint; lower is better.
    pub(super) fn cost(&self, endpoint: &Endpoint, job: &QueuedJob, members: u64) -> f64 {
        let shape = &job.shape;
        let slower = (self.fleet.fastest / endpoint.speed - 1.0) / (SPEED_RANGE - 1.0);
        let mut cost = self.weights.completion * slower.clamp(0.0, 1.0);
        let all = endpoint.mask.count_ones();
        if shape.accelerators == 0 {
            if all > 0 {
                cost += WASTE_COST;
            }
            let used = endpoint.load.cores as f64 / f64::from(endpoint.spec.cores.max(1));
            cost += self.weights.fragmentation * (1.0 - used);
        } else {
            let left = u64::from(endpoint.free().count_ones()).saturating_sub(members * u64::from(shape.accelerators));
            let rack = &self.fleet.racks()[endpoint.rack];
            let inside = left as f64 / f64::from(all.max(1));
            let around = f64::from(rack.free) / f64::from(rack.total.max(1));
            cost += self.weights.fragmentation * (ENDPOINT_SHARE * inside + (1.0 - ENDPOINT_SHARE) * around);
        }
        cost
    }

    /// Whether a job must not be placed on an endpoint now.
    pub(super) fn avoids(&self, now: Millis, endpoint: &Endpoint, job: &QueuedJob) -> bool {
        endpoint.paused_until > now
            || (self.health.has_failed(&job.id)
                && self.fleet.endpoints().len() >= AVOID_FLEET_MIN
                && self.health.failed_on(&job.id, &endpoint.spec.name))
    }

    /// Whether a job may use reserved resources: it ends before the reservation starts, or is a borrower that
    /// checkpoints.
    fn may_use_reserved(&self, now: Millis, job: &QueuedJob, guaranteed: bool) -> bool {
        let Some(reservation) = &self.reservation else {
            return true;
        };
        if reservation.job == job.id || (job.checkpoints && !guaranteed) {
            return true;
        }
        now + self.estimates.run_time_bound(&job.team, &job.kind, job.declared) <= reservation.at
    }

    /// Free seats on any endpoint, outside the guarantee; the job becomes a borrower.
    pub(super) fn find_anywhere(&self, now: Millis, job: &QueuedJob) -> Option<Vec<Seat>> {
        let shape = &job.shape;
        let use_reserved = self.may_use_reserved(now, job, false);
        let has_reservation = self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == job.id);
        let one_endpoint = shape.adjacent == Adjacency::Endpoint;
        let want = if one_endpoint { u64::from(shape.members) } else { 1 };
        let mut offers = Vec::new();
        for (index, endpoint) in self.fleet.with_free(u32::from(shape.accelerators)) {
            if self.avoids(now, endpoint, job) {
                continue;
            }
            let mut free = endpoint.free() & !endpoint.cells;
            let mut extra = 0.0;
            let mut members = endpoint.unreserved_members(shape, free);
            if members < want {
                free = endpoint.free();
                extra += if job.checkpoints {
                    RESUMABLE_BORROW_COST
                } else {
                    BORROW_COST
                };
                members = endpoint.unreserved_members(shape, free);
                free &= !endpoint.reserved;
            }
            if members < want && use_reserved {
                free = endpoint.free();
                extra += if has_reservation { 0.0 } else { RESERVED_COST };
                members = endpoint.fitting_members(shape, free);
            }
            if members < want || members == 0 {
                continue;
            }
            let cost = extra + self.cost(endpoint, job, members);
            offers.push(Offer {
                endpoint: index,
                members,
                free,
                cost,
            });
        }
        let offers = place::choose_offers(&self.fleet, shape, offers)?;
        place::assign_seats(&self.fleet, shape, &offers)
    }

    /// Free seats inside the team's guarantee. Unused cells are moved to free accelerators first.
    pub(super) fn find_guaranteed(&mut self, now: Millis, job: &QueuedJob, urgent: bool) -> Option<Vec<Seat>> {
        let use_reserved = urgent || self.may_use_reserved(now, job, true);
        if job.shape.accelerators == 0 {
            return self.find_guaranteed_cores(now, job, use_reserved);
        }
        if !self.has_unused(job) {
            return None;
        }
        self.move_cells_to_free(now, job, use_reserved);
        self.find_in_cells(now, job, use_reserved)
    }

    /// Whether enough accelerators of the team's guarantee are unused for a job.
    pub(super) fn has_unused(&self, job: &QueuedJob) -> bool {
        let mut unused = 0;
        for &index in self.cells.of_team(&job.team) {
            unused += self.cells.unused_size(&self.fleet, index);
        }
        unused > 0 && unused >= job.shape.total_accelerators()
    }

    fn find_in_cells(&self, now: Millis, job: &QueuedJob, use_reserved: bool) -> Option<Vec<Seat>> {
        let mut offers = Vec::new();
        for (index, own) in self.cells.team_masks(&job.team) {
            let endpoint = self.fleet.endpoint(index);
            if !endpoint.usable() || self.avoids(now, endpoint, job) {
                continue;
            }
            let mut free = endpoint.free() & own;
            let mut members = endpoint.fitting_members(&job.shape, free);
            if !use_reserved {
                members = endpoint.unreserved_members(&job.shape, free);
                free &= !endpoint.reserved;
            }
            members = members.min(endpoint.guaranteed_members(&job.shape, own, free));
            if members == 0 {
                continue;
            }
            let cost = self.cost(endpoint, job, members);
            offers.push(Offer {
                endpoint: index,
                members,
                free,
                cost,
            });
        }
        let offers = place::choose_offers(&self.fleet, &job.shape, offers)?;
        place::assign_seats(&self.fleet, &job.shape, &offers)
    }

    /// Seats without accelerators that leave the unused cells of other teams their share of cores, memory and slots.
    fn find_guaranteed_cores(&self, now: Millis, job: &QueuedJob, use_reserved: bool) -> Option<Vec<Seat>> {
        if preemptible(job) && self.cells.of_team(&job.team).is_empty() {
            return None;
        }
        let own = self.cells.team_masks(&job.team);
        let mut offers = Vec::new();
        for (index, endpoint) in self.fleet.with_free(0) {
            let own = own.get(&index).copied().unwrap_or(0);
            // A preemptible job uses only endpoints of its team's cells, since it can borrow elsewhere. A job that is
            // not preemptible may use any endpoint.
            if self.avoids(now, endpoint, job) || (preemptible(job) && own == 0) {
                continue;
            }
            let members = if use_reserved {
                endpoint.fitting_members(&job.shape, 0)
            } else {
                endpoint.unreserved_members(&job.shape, 0)
            };
            let members = members.min(endpoint.guaranteed_members(&job.shape, own, 0));
            if members == 0 {
                continue;
            }
            let cost = self.cost(endpoint, job, members);
            offers.push(Offer {
                endpoint: index,
                members,
                free: 0,
                cost,
            });
        }
        let offers = place::choose_offers(&self.fleet, &job.shape, offers)?;
        place::assign_seats(&self.fleet, &job.shape, &offers)
    }

    /// Moves as many of a team's unused cells as a job needs to the best free accelerators.
    fn move_cells_to_free(&mut self, now: Millis, job: &QueuedJob, use_reserved: bool) {
        let need = job.shape.total_accelerators();
        let mut found = 0;
        for index in self.cells.of_team(&job.team).to_vec() {
            if found >= need {
                break;
            }
            let cell = self.cells.cell(index);
            let (level, size) = (cell.level, cell.size);
            if self.cells.is_used(&self.fleet, index) {
                continue;
            }
            let usable_free = |endpoint: &Endpoint| {
                let free = endpoint.free();
                if use_reserved { free } else { free & !endpoint.reserved }
            };
            match level {
                Level::Endpoint if size < u32::from(job.shape.accelerators) => continue,
                Level::Endpoint => {
                    let placement_cost = |endpoint: &Endpoint, mask: u64| {
                        let fits = !self.avoids(now, endpoint, job) && mask & !usable_free(endpoint) == 0;
                        let members = endpoint.fitting_members(&job.shape, mask);
                        (fits && members > 0).then(|| self.cost(endpoint, job, members))
                    };
                    if let Some(best) = self.best_move(index, size, true, &usable_free, placement_cost) {
                        self.move_cell(index, best);
                    }
                }
                Level::Rack => self.move_rack_cell_to_free(index, size, &usable_free),
            }
            let mut free = true;
            for piece in &self.cells.cell(index).pieces {
                free &= piece.mask & !usable_free(self.fleet.endpoint(piece.endpoint)) == 0;
            }
            if free {
                found += size;
            }
        }
    }

    fn move_rack_cell_to_free<F>(&mut self, index: usize, size: u32, usable_free: &F)
    where
        F: Fn(&Endpoint) -> u64,
    {
        let mut free = true;
        for piece in &self.cells.cell(index).pieces {
            free &= piece.mask & !usable_free(self.fleet.endpoint(piece.endpoint)) == 0;
        }
        if free && self.cells.cell(index).count() >= size {
            return;
        }
        let pieces = self.cells.take_pieces(&mut self.fleet, index);
        let found = cells::best_rack_pieces(&self.fleet, size, |endpoint| {
            if usable_free(endpoint) == endpoint.mask {
                cells::unassigned_if_whole(endpoint)
            } else {
                0
            }
        });
        self.cells.add_pieces(&mut self.fleet, index, &found.unwrap_or(pieces));
    }

    /// Cheapest move for an unused endpoint cell: to stay, to unassigned accelerators, or to swap with an equal cell.
    pub(super) fn best_move<U, C>(
        &self,
        index: usize,
        size: u32,
        free_only: bool,
        wanted: &U,
        cost: C,
    ) -> Option<CellMove>
    where
        U: Fn(&Endpoint) -> u64,
        C: Fn(&Endpoint, u64) -> Option<f64>,
    {
        let mut best: Option<(f64, CellMove)> = None;
        let mut offer = |cost: Option<f64>, to: CellMove| {
            if let Some(cost) = cost
                && best.is_none_or(|(least, _)| cost < least)
            {
                best = Some((cost, to));
            }
        };
        let intact = self.cells.is_intact(&self.fleet, index);
        if let [piece] = self.cells.cell(index).pieces[..] {
            let endpoint = self.fleet.endpoint(piece.endpoint);
            if endpoint.usable() {
                offer(cost(endpoint, piece.mask), CellMove::Stay);
            }
        }
        let (least, most) = if free_only {
            (size, MOVE_CANDIDATES_MAX)
        } else {
            (0, usize::MAX)
        };
        for (endpoint_index, endpoint) in self.fleet.with_free(least).take(most) {
            for &other in self.cells.on_endpoint(endpoint_index) {
                let cell = self.cells.cell(other);
                let equal = cell.size == size && cell.level == Level::Endpoint && other != index;
                let [piece] = cell.pieces[..] else { continue };
                if equal && intact && !self.cells.is_used(&self.fleet, other) {
                    offer(cost(endpoint, piece.mask), CellMove::Swap(other));
                }
            }
            let unassigned = endpoint.unassigned();
            if unassigned.count_ones() < size || !endpoint.has_room_for_cell(size) {
                continue;
            }
            let mask = mask::pick(unassigned & wanted(endpoint), size).or_else(|| mask::pick(unassigned, size));
            if let Some(mask) = mask {
                offer(
                    cost(endpoint, mask),
                    CellMove::To(Piece {
                        endpoint: endpoint_index,
                        mask,
                    }),
                );
            }
        }
        best.map(|(_, to)| to)
    }

    pub(super) fn move_cell(&mut self, index: usize, to: CellMove) {
        match to {
            CellMove::Stay => {}
            CellMove::Swap(other) => self.cells.swap(&mut self.fleet, index, other),
            CellMove::To(piece) => {
                self.cells.take_pieces(&mut self.fleet, index);
                self.cells.add_pieces(&mut self.fleet, index, &[piece]);
                self.cells.to_repair.remove(&index);
            }
        }
    }

    /// Whether a shape fits the endpoints that are listed or were lost recently, if nothing else runs.
    pub(super) fn is_possible(&mut self, now: Millis, shape: &Shape) -> bool {
        if let Some(&known) = self.possible_shapes.get(shape) {
            return known;
        }
        let known = place::is_possible(&self.fleet, shape, now);
        self.possible_shapes.insert(*shape, known);
        known
    }
}

/// Move of an unused cell.
#[derive(Debug, Clone, Copy)]
pub(super) enum CellMove {
    /// The cell stays where it is.
    Stay,
    /// The cell swaps its accelerators with this cell.
    Swap(usize),
    /// The cell moves to these accelerators.
    To(Piece),
}
