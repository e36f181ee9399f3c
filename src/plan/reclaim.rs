//! Reclaim of guarantees: borrowers are stopped to vacate seats inside a guarantee.

use std::collections::BTreeSet;

use super::endpoint::{Endpoint, Task};
use super::job_entry::{Claim, Stage};
use super::place::{self, Offer};
use super::{Decision, QueuedJob, Scheduler, StopReason, cells, mask};
use crate::job::{Seat, Shape};
use crate::name::{JobId, TeamName};
use crate::team::Level;
use crate::time::Millis;

/// Added to the cost of stopping another team's borrower; exceeds the cost of any lost work.
const OTHER_TEAM_COST: f64 = 1e12;
/// Added to the cost of stopping a job that cannot resume from a checkpoint.
const RESTART_COST: f64 = 1e9;
/// Maximum run time that a checkpointing job loses, since it is asked for a checkpoint when it is stopped.
const CHECKPOINT_LOSS: Millis = Millis::from_secs(2);

/// Cost of stopping a job: first whether it belongs to another team, then whether it cannot resume, then the lost work
/// in accelerator seconds.
fn stop_cost(now: Millis, team: &TeamName, task: &Task) -> f64 {
    if task.stopping {
        return 0.0;
    }
    let mut ran = now.since(task.started);
    let mut cost = 1.0;
    if task.checkpoints {
        ran = ran.min(CHECKPOINT_LOSS);
    } else {
        cost += RESTART_COST;
    }
    if task.team != *team {
        cost += OTHER_TEAM_COST;
    }
    let size = task.shape.total_accelerators().max(1);
    cost + (ran.as_secs_f64() * f64::from(size)).min(RESTART_COST / 2.0)
}

/// Minimum cost of vacating `need` accelerators of a mask.
fn vacate_cost(now: Millis, team: &TeamName, endpoint: &Endpoint, mask: u64, need: u32) -> f64 {
    let mut free = (mask & endpoint.free()).count_ones();
    let mut costs = Vec::new();
    for task in &endpoint.tasks {
        if !task.guaranteed && task.mask & mask != 0 {
            costs.push((stop_cost(now, team, task), (task.mask & mask).count_ones()));
        }
    }
    costs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut total = 0.0;
    for (cost, count) in costs {
        if free >= need {
            break;
        }
        total += cost;
        free += count;
    }
    total
}

impl Scheduler {
    /// Stops borrowers in the team's guarantee and claims their seats for a job; `false` if the job does not fit into
    /// the guarantee.
    pub(super) fn reclaim(&mut self, now: Millis, job: &QueuedJob, out: &mut Vec<Decision>) -> bool {
        if job.shape.accelerators == 0 {
            return false;
        }
        self.move_cells_to_cheapest(now, job);
        let Some(seats) = self.find_reclaimable(now, job) else {
            return false;
        };
        self.claim_guaranteed(now, job, seats, out)
    }

    /// Claims seats inside the team's guarantee.
    pub(super) fn claim_guaranteed(
        &mut self,
        now: Millis,
        job: &QueuedJob,
        seats: Vec<Seat>,
        out: &mut Vec<Decision>,
    ) -> bool {
        let reason = StopReason::Reclaim { team: job.team.clone() };
        let claim = Claim {
            seats,
            guaranteed: true,
        };
        self.claim(now, job, claim, &reason, out)
    }

    /// Moves as many unused cells as the job needs to accelerators where reclaiming loses the least work.
    fn move_cells_to_cheapest(&mut self, now: Millis, job: &QueuedJob) {
        let mut found = 0;
        for index in self.cells.of_team(&job.team).to_vec() {
            if found >= job.shape.total_accelerators() {
                break;
            }
            let cell = self.cells.cell(index);
            let size = cell.size;
            if self.cells.is_used(&self.fleet, index) {
                continue;
            }
            if cell.level == Level::Rack {
                let needed = u32::from(job.shape.members).min(size / u32::from(job.shape.accelerators));
                if self.cells.fitting_members(index, job.shape.accelerators) < needed {
                    self.move_to_whole_endpoints(index, size);
                }
                found += size;
                continue;
            }
            if size < u32::from(job.shape.accelerators) {
                continue;
            }
            let place_cost = |endpoint: &Endpoint, mask: u64| {
                if self.avoids(now, endpoint, job) || mask & (endpoint.claimed | endpoint.guaranteed) != 0 {
                    return None;
                }
                let need = size.min(job.shape.total_accelerators());
                Some(vacate_cost(now, &job.team, endpoint, mask, need))
            };
            if let Some(best) = self.best_move(index, size, false, &Endpoint::free, place_cost) {
                self.move_cell(index, best);
            }
            found += size;
        }
    }

    /// Moves an unused rack cell to whole endpoints, if there are enough.
    fn move_to_whole_endpoints(&mut self, index: usize, size: u32) {
        let pieces = self.cells.take_pieces(&mut self.fleet, index);
        let found = cells::best_rack_pieces(&self.fleet, size, cells::unassigned_if_whole);
        self.cells.add_pieces(&mut self.fleet, index, &found.unwrap_or(pieces));
    }

    /// Seats inside the guarantee, with accelerators held by borrowers counted as free.
    fn find_reclaimable(&self, now: Millis, job: &QueuedJob) -> Option<Vec<Seat>> {
        let mut offers = Vec::new();
        for (index, own) in self.cells.team_masks(&job.team) {
            let endpoint = self.fleet.endpoint(index);
            if !endpoint.usable() || self.avoids(now, endpoint, job) {
                continue;
            }
            let free = own & endpoint.mask & !endpoint.guaranteed & !endpoint.claimed;
            let without_borrowers = endpoint.members_without(&job.shape, endpoint.free(), |task| !task.guaranteed);
            let members = endpoint
                .guaranteed_members(&job.shape, own, free)
                .min(without_borrowers);
            if members == 0 {
                continue;
            }
            let need = (members * u64::from(job.shape.accelerators)) as u32;
            let cost = vacate_cost(now, &job.team, endpoint, free, need);
            offers.push(Offer {
                endpoint: index,
                members,
                free,
                cost,
            });
        }
        let mut offers = place::choose_offers(&self.fleet, &job.shape, offers)?;
        for offer in &mut offers {
            offer.free = self.cheapest_accelerators(now, job, offer);
        }
        place::assign_seats(&self.fleet, &job.shape, &offers)
    }

    /// Accelerators of an offer that lose the least work: free ones first, then those of one borrower after another.
    fn cheapest_accelerators(&self, now: Millis, job: &QueuedJob, offer: &Offer) -> u64 {
        let endpoint = self.fleet.endpoint(offer.endpoint);
        let need = (offer.members * u64::from(job.shape.accelerators)) as u32;
        let mut mask = offer.free & !endpoint.held;
        let mut tasks = endpoint.tasks.iter().collect::<Vec<_>>();
        tasks.sort_by(|a, b| stop_cost(now, &job.team, a).total_cmp(&stop_cost(now, &job.team, b)));
        for task in tasks {
            if mask.count_ones() >= need {
                break;
            }
            mask |= offer.free & task.mask;
        }
        mask
    }

    /// Claims seats for a job. Borrowers that hold them, or the cores, memory and slots that the job needs, are
    /// stopped.
    pub(super) fn claim(
        &mut self,
        now: Millis,
        job: &QueuedJob,
        claim: Claim,
        reason: &StopReason,
        out: &mut Vec<Decision>,
    ) -> bool {
        let Some(mut victims) = self.victims(now, job, &claim.seats) else {
            return false;
        };
        if !self.add_quota_victims(now, job, &mut victims) {
            return false;
        }
        // A job with both a claim and a reservation would be placed twice, and its claimed seats would never be freed.
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == job.id)
        {
            self.drop_reservation();
        }
        for victim in victims {
            self.stop(now, &victim, reason, out);
        }
        for seat in &claim.seats {
            let index = self.fleet.index_or_absent(&seat.endpoint);
            let mask = mask::from_indices(&seat.accelerators);
            self.fleet.update(index, |endpoint| endpoint.claim(&job.shape, mask));
        }
        self.order.remove(job);
        self.order.charge(job);
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            entry.stage = Stage::Claiming(claim);
        }
        self.claims.insert(job.id.clone());
        true
    }

    /// Stops a job, unless it is already stopping.
    fn stop(&mut self, now: Millis, id: &JobId, reason: &StopReason, out: &mut Vec<Decision>) {
        let Some(held) = self.jobs.get(id).and_then(|entry| entry.held()) else {
            return;
        };
        let first = held.seats.first().and_then(|seat| self.fleet.index(&seat.endpoint));
        let tasks = first.map_or(&[][..], |index| &self.fleet.endpoint(index).tasks);
        let Some(task) = tasks.iter().find(|task| task.job == *id && !task.stopping) else {
            return;
        };
        let overrun = task.expected_end <= now && matches!(reason, StopReason::Gang { .. });
        let reason = if overrun { StopReason::Overrun } else { reason.clone() };
        self.fleet.update_tasks(id, &held.seats, |task| task.stopping = true);
        out.push(Decision::Stop {
            job: id.clone(),
            reason,
        });
    }

    /// Borrowers that must be stopped to vacate the seats; `None` if a guaranteed job or a claim is in the way.
    fn victims(&self, now: Millis, job: &QueuedJob, seats: &[Seat]) -> Option<BTreeSet<JobId>> {
        let mut victims = BTreeSet::new();
        let mut rest = seats;
        while let Some(first) = rest.first() {
            let count = rest.iter().take_while(|seat| seat.endpoint == first.endpoint).count();
            let endpoint = self.fleet.endpoint(self.fleet.index(&first.endpoint)?);
            let mut mask = 0;
            for seat in &rest[..count] {
                mask |= mask::from_indices(&seat.accelerators);
            }
            if mask & (endpoint.guaranteed | endpoint.claimed) != 0 {
                return None;
            }
            for task in &endpoint.tasks {
                if task.mask & mask != 0 {
                    victims.insert(task.job.clone());
                }
            }
            add_resource_victims(now, job, endpoint, (count as u64, mask), &mut victims)?;
            rest = &rest[count..];
        }
        Some(victims)
    }

    /// Adds borrowers of the job's team until stopping them brings the job within the quota; `false` if there are not
    /// enough.
    fn add_quota_victims(&self, now: Millis, job: &QueuedJob, victims: &mut BTreeSet<JobId>) -> bool {
        let mut quota_excess = self.order.quota_excess(job);
        if quota_excess == 0 {
            return true;
        }
        let mut own = Vec::new();
        for (id, entry) in &self.jobs {
            let Some(held) = entry
                .held()
                .filter(|held| !held.guaranteed && entry.job.team == job.team)
            else {
                continue;
            };
            let size = u64::from(entry.job.shape.total_accelerators());
            let endpoint = held.seats.first().and_then(|seat| self.fleet.index(&seat.endpoint));
            let tasks = endpoint.map_or(&[][..], |index| &self.fleet.endpoint(index).tasks);
            let Some(task) = tasks.iter().find(|task| task.job == *id) else {
                continue;
            };
            if task.stopping || victims.contains(id) {
                quota_excess = quota_excess.saturating_sub(size);
            } else if size > 0 {
                own.push((stop_cost(now, &job.team, task), size, id.clone()));
            }
        }
        own.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, size, id) in own {
            if quota_excess == 0 {
                break;
            }
            quota_excess = quota_excess.saturating_sub(size);
            victims.insert(id);
        }
        quota_excess == 0
    }

    /// Places jobs on their claimed seats once these are vacant.
    pub(super) fn finish_claims(&mut self, now: Millis, out: &mut Vec<Decision>) {
        for id in self.claims.clone() {
            let Stage::Claiming(claim) = self.jobs[&id].stage.clone() else {
                continue;
            };
            let mut vacant = self.order.team_within_quota(&self.jobs[&id].job.team);
            for seat in &claim.seats {
                let index = self.fleet.index_or_absent(&seat.endpoint);
                let endpoint = self.fleet.endpoint(index);
                let total = endpoint.total();
                vacant &= endpoint.held & mask::from_indices(&seat.accelerators) == 0
                    && endpoint.load.cores <= total.cores
                    && endpoint.load.memory <= total.memory
                    && endpoint.load.slots <= total.slots;
            }
            if !vacant {
                continue;
            }
            self.drop_claim(&id);
            self.place(now, &id, claim.seats, claim.guaranteed, out);
        }
    }
}

/// Adds borrowers of an endpoint until its cores, memory and slots suffice as well; `None` if they never do.
fn add_resource_victims(
    now: Millis,
    job: &QueuedJob,
    endpoint: &Endpoint,
    need: (u64, u64),
    victims: &mut BTreeSet<JobId>,
) -> Option<()> {
    let shape = Shape {
        accelerators: 0,
        ..job.shape
    };
    loop {
        let gone = |task: &Task| task.stopping || victims.contains(&task.job);
        if endpoint.members_without(&shape, 0, gone) >= need.0 {
            return Some(());
        }
        let mut next: Option<(f64, &Task)> = None;
        for task in &endpoint.tasks {
            if task.guaranteed || gone(task) {
                continue;
            }
            let cost = stop_cost(now, &job.team, task);
            if next.is_none_or(|(least, _)| cost < least) {
                next = Some((cost, task));
            }
        }
        victims.insert(next?.1.job.clone());
    }
}
