//! Waiting jobs and the order in which they are tried.
//!
//! Jobs of a team with the same requirements form a class. Only the oldest job of a class is tried, since the others
//! fit nowhere that it does not. Teams are ranked by weighted dominant share: the larger of their shares of
//! accelerators and cores, divided by the team's weight. Classes that failed are skipped until capacity is freed, so
//! that a decision is cheap while nothing changes.

use std::collections::{BTreeMap, BTreeSet};

use super::QueuedJob;
use crate::job::Shape;
use crate::name::{JobId, KindName, TeamName};
use crate::team::Team;
use crate::time::Millis;

/// Position in the queue: time of acceptance and job ID.
pub(super) type Position = (Millis, JobId);

/// Properties of a job that affect the search for seats.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    /// Shape of the jobs.
    pub shape: Shape,
    /// Whether they claim their team's guarantee.
    pub urgent: bool,
    /// Whether they can be preempted and may therefore run outside the guarantee.
    pub preemptible: bool,
    /// Whether they can resume from a checkpoint.
    pub checkpoints: bool,
    /// Their kind, on which the run time depends.
    pub kind: KindName,
    /// Bit length of the declared run time in milliseconds; jobs of similar run time share a class.
    pub run_time_bits: u32,
}

impl Class {
    pub(super) fn of(job: &QueuedJob) -> Self {
        Self {
            shape: job.shape,
            urgent: job.urgent,
            preemptible: job.checkpoints || job.idempotent,
            checkpoints: job.checkpoints,
            kind: job.kind.clone(),
            run_time_bits: u64::BITS - job.declared.0.leading_zeros(),
        }
    }
}

/// Waiting jobs of a class, oldest first.
#[derive(Debug, Default)]
struct ClassQueue {
    positions: BTreeSet<Position>,
    /// Added to the time of acceptance in the order inside the team.
    order_delay: Millis,
}

/// Waiting jobs and usage of one team.
#[derive(Debug)]
pub(super) struct TeamQueue {
    /// Accelerators held or claimed.
    pub accelerators: u64,
    /// Cores held or claimed.
    pub cores: u64,
    quota: Option<u64>,
    weight: u16,
    classes: BTreeMap<Class, ClassQueue>,
    /// Rank under which the team is listed in [`Order::ranks`], while it has waiting jobs.
    rank: Option<u64>,
    /// Generation in which each class last failed.
    failed: BTreeMap<Class, u64>,
    /// Generation, plus 1, in which no class was left to try; 0 if there may be one.
    exhausted_at: u64,
}

/// All teams' queues.
#[derive(Debug, Default)]
pub(super) struct Order {
    teams: Vec<TeamQueue>,
    indices: BTreeMap<TeamName, usize>,
    ranks: BTreeSet<(u64, usize)>,
    waiting: BTreeSet<Position>,
    /// Non-empty classes of urgent jobs, with the index of their team.
    urgent: BTreeSet<(usize, Class)>,
    /// Teams ranked before this have no class left to try.
    cursor: (u64, usize),
    /// Accelerators and cores of the pool; 0 counts as 1 in shares.
    total: (u64, u64),
    /// Generation in which each class last failed outside guarantees, for any team.
    failed: BTreeMap<Class, u64>,
    /// Increases whenever capacity is freed.
    generation: u64,
}

impl Order {
    fn team_index(&mut self, team: &TeamName) -> usize {
        if let Some(&index) = self.indices.get(team) {
            return index;
        }
        let index = self.teams.len();
        self.teams.push(TeamQueue {
            accelerators: 0,
            cores: 0,
            quota: None,
            weight: 1,
            classes: BTreeMap::new(),
            rank: None,
            failed: BTreeMap::new(),
            exhausted_at: 0,
        });
        self.indices.insert(team.clone(), index);
        index
    }

    /// Sets weights and quotas. A team that appears in no ticket has weight 1 and no quota.
    pub(super) fn set_teams(&mut self, teams: &BTreeMap<TeamName, Team>) {
        for team_queue in &mut self.teams {
            team_queue.quota = None;
            team_queue.weight = 1;
        }
        for (name, team) in teams {
            let index = self.team_index(name);
            self.teams[index].quota = Some(u64::from(team.quota));
            self.teams[index].weight = team.weight.max(1);
        }
        self.rank_all();
    }

    /// Sets the total accelerators and cores of the pool.
    pub(super) fn set_total(&mut self, accelerators: u64, cores: u64) {
        self.total = (accelerators, cores);
        self.rank_all();
    }

    fn rank_all(&mut self) {
        for index in 0..self.teams.len() {
            self.rank(index);
        }
        self.capacity_freed();
    }

    fn rank(&mut self, index: usize) {
        let team_queue = &mut self.teams[index];
        if let Some(rank) = team_queue.rank.take() {
            self.ranks.remove(&(rank, index));
        }
        if team_queue.classes.is_empty() {
            return;
        }
        let scale = 1_000_000_000;
        let accelerators = team_queue.accelerators * scale / self.total.0.max(1);
        let cores = team_queue.cores * scale / self.total.1.max(1);
        let rank = accelerators.max(cores) / u64::from(team_queue.weight);
        team_queue.rank = Some(rank);
        self.ranks.insert((rank, index));
        self.cursor = self.cursor.min((rank, index));
    }

    /// Adds a waiting job. Inside its team it is ordered as if it had been accepted later by `order_delay`.
    pub(super) fn push(&mut self, job: &QueuedJob, order_delay: Millis) {
        let position = (job.accepted_at, job.id.clone());
        let index = self.team_index(&job.team);
        let team_queue = &mut self.teams[index];
        let class = Class::of(job);
        if job.urgent {
            self.urgent.insert((index, class.clone()));
        }
        let queue = team_queue.classes.entry(class).or_default();
        queue.positions.insert(position.clone());
        queue.order_delay = order_delay;
        team_queue.exhausted_at = 0;
        self.rank(index);
        self.waiting.insert(position);
    }

    /// Removes a waiting job.
    pub(super) fn remove(&mut self, job: &QueuedJob) {
        let position = (job.accepted_at, job.id.clone());
        self.waiting.remove(&position);
        let index = self.team_index(&job.team);
        let class = Class::of(job);
        let classes = &mut self.teams[index].classes;
        if let Some(queue) = classes.get_mut(&class) {
            queue.positions.remove(&position);
            if queue.positions.is_empty() {
                classes.remove(&class);
                self.urgent.remove(&(index, class));
            }
        }
        self.rank(index);
    }

    /// Adds a job's accelerators and cores to its team's usage.
    pub(super) fn charge(&mut self, job: &QueuedJob) {
        let index = self.team_index(&job.team);
        let team_queue = &mut self.teams[index];
        team_queue.accelerators += u64::from(job.shape.total_accelerators());
        team_queue.cores += u64::from(job.shape.cores) * u64::from(job.shape.members);
        self.rank(index);
    }

    /// Undoes [`Order::charge`].
    pub(super) fn refund(&mut self, job: &QueuedJob) {
        let index = self.team_index(&job.team);
        let team_queue = &mut self.teams[index];
        let accelerators = u64::from(job.shape.total_accelerators());
        team_queue.accelerators = team_queue.accelerators.saturating_sub(accelerators);
        let cores = u64::from(job.shape.cores) * u64::from(job.shape.members);
        team_queue.cores = team_queue.cores.saturating_sub(cores);
        self.rank(index);
    }

    /// Whether a job stays within its team's quota.
    pub(super) fn within_quota(&self, job: &QueuedJob) -> bool {
        self.quota_excess(job) == 0
    }

    /// Number of accelerators by which a job would exceed its team's quota.
    pub(super) fn quota_excess(&self, job: &QueuedJob) -> u64 {
        let Some(team_queue) = self.indices.get(&job.team).map(|&index| &self.teams[index]) else {
            return 0;
        };
        let total = team_queue.accelerators + u64::from(job.shape.total_accelerators());
        team_queue.quota.map_or(0, |quota| total.saturating_sub(quota))
    }

    /// Whether a team's usage, including claims, is within its quota.
    pub(super) fn team_within_quota(&self, team: &TeamName) -> bool {
        let team_queue = self.indices.get(team).map(|&index| &self.teams[index]);
        team_queue.is_none_or(|team_queue| team_queue.quota.is_none_or(|quota| team_queue.accelerators <= quota))
    }

    /// Makes all classes eligible again, after capacity was freed.
    pub(super) fn capacity_freed(&mut self) {
        self.generation += 1;
        self.cursor = (0, 0);
    }

    /// Records that no seats were found for a job's class: for any team if `anywhere`, otherwise for its own team only.
    pub(super) fn record_failure(&mut self, job: &QueuedJob, anywhere: bool) {
        let class = Class::of(job);
        let index = self.team_index(&job.team);
        self.teams[index].failed.insert(class.clone(), self.generation);
        if anywhere {
            self.failed.insert(class, self.generation);
        }
    }

    /// Whether a job's class has failed for its team since capacity was last freed.
    pub(super) fn has_failed(&self, job: &QueuedJob) -> bool {
        let Some(&index) = self.indices.get(&job.team) else {
            return false;
        };
        self.teams[index].failed.get(&Class::of(job)) == Some(&self.generation)
    }

    /// Whether a job's class has failed outside guarantees, for any team, since capacity was last freed.
    pub(super) fn has_failed_anywhere(&self, job: &QueuedJob) -> bool {
        self.failed.get(&Class::of(job)) == Some(&self.generation)
    }

    /// Next job to try by fair share. Teams without one are skipped until capacity is freed.
    pub(super) fn next_fair(&mut self) -> Option<JobId> {
        for &(rank, index) in self.ranks.range(self.cursor..) {
            self.cursor = (rank, index);
            let team_queue = &mut self.teams[index];
            if team_queue.exhausted_at == self.generation + 1 {
                continue;
            }
            let mut first: Option<(Millis, &JobId)> = None;
            for (class, queue) in &team_queue.classes {
                if team_queue.failed.get(class) == Some(&self.generation) {
                    continue;
                }
                let position = queue
                    .positions
                    .first()
                    .map(|(accepted_at, id)| (*accepted_at + queue.order_delay, id));
                if first.is_none() || position < first {
                    first = position;
                }
            }
            if let Some((_, job)) = first {
                return Some(job.clone());
            }
            team_queue.exhausted_at = self.generation + 1;
        }
        None
    }

    /// Positions of the waiting jobs, oldest first.
    pub(super) fn oldest(&self) -> impl Iterator<Item = &Position> {
        self.waiting.iter()
    }

    /// The oldest urgent job of each class that has not failed, oldest first.
    pub(super) fn urgent(&self) -> Vec<Position> {
        let mut positions = Vec::new();
        for (index, class) in &self.urgent {
            let team_queue = &self.teams[*index];
            if team_queue.failed.get(class) == Some(&self.generation) {
                continue;
            }
            positions.extend(
                team_queue
                    .classes
                    .get(class)
                    .and_then(|queue| queue.positions.first())
                    .cloned(),
            );
        }
        positions.sort();
        positions
    }

    /// Discards recorded failures from before capacity was last freed.
    pub(super) fn discard_old_failures(&mut self) {
        let now = self.generation;
        self.failed.retain(|_, generation| *generation == now);
        for team_queue in &mut self.teams {
            if team_queue.classes.is_empty() {
                team_queue.failed.clear();
            }
            team_queue.failed.retain(|_, generation| *generation == now);
        }
    }
}
