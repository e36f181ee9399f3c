//! Decides which claims are within a team's guarantee.
//!
//! The guarantee is counted in sets of accelerators. Each job that holds or claims a part of it counts as at least one
//! whole set. A claim that passes this count can always be met, whatever the policy decided before, so a late start is
//! a fault of the policy.

use std::collections::BTreeMap;

use yuccaridge::job::{Adjacency, Shape};
use yuccaridge::name::TeamName;
use yuccaridge::team::{Guarantee, Level, Team};

use super::replay::Replay;
use super::replay_job::{ClaimState, Stage};

/// Whether the shape takes exactly one set of the guarantee.
fn is_guaranteed_set(guarantee: &Guarantee, shape: &Shape) -> bool {
    let level = match shape.adjacent {
        Adjacency::Endpoint => Level::Endpoint,
        Adjacency::Rack if shape.members > 1 => Level::Rack,
        _ if shape.members == 1 => Level::Endpoint,
        _ => return false,
    };
    level == guarantee.level && u32::from(guarantee.accelerators) == shape.total_accelerators()
}

/// Accelerators of each other job of the team that holds guaranteed seats or waits with a claim.
fn accelerators_of_claimants<'a>(replay: &'a Replay<'_>, i: usize) -> impl Iterator<Item = u32> + 'a {
    let team = &replay.job(i).team;
    replay.jobs.iter().enumerate().filter_map(move |(k, replay_job)| {
        let holds_guaranteed = replay_job.has_seats() && replay_job.guaranteed;
        let claims = replay_job.stage == Stage::Waiting && replay_job.claim != ClaimState::None;
        let counts = k != i && (holds_guaranteed || claims) && replay.job(k).team == *team;
        counts.then(|| replay.job(k).shape.total_accelerators())
    })
}

/// Whether a job's claim is within the guarantee, so that it must be met at once.
pub fn is_within_guarantee(teams: &BTreeMap<TeamName, Team>, replay: &Replay<'_>, i: usize) -> bool {
    let shape = replay.job(i).shape;
    let Some(team) = teams.get(&replay.job(i).team) else {
        return false;
    };
    for guarantee in &team.guarantees {
        if !is_guaranteed_set(guarantee, &shape) {
            continue;
        }
        let set = u32::from(guarantee.accelerators);
        let used_sets: u32 = accelerators_of_claimants(replay, i).map(|n| n.div_ceil(set)).sum();
        return used_sets < u32::from(guarantee.count);
    }
    false
}

/// Whether a job's guaranteed seats exceed the team's guarantees, by the number of accelerators.
pub fn exceeds_guarantee(teams: &BTreeMap<TeamName, Team>, replay: &Replay<'_>, i: usize) -> bool {
    let mut total = replay.job(i).shape.total_accelerators();
    for (k, replay_job) in replay.jobs.iter().enumerate() {
        if k != i && replay_job.has_seats() && replay_job.guaranteed && replay.job(k).team == replay.job(i).team {
            total += replay.job(k).shape.total_accelerators();
        }
    }
    let guaranteed_total: u32 = teams
        .get(&replay.job(i).team)
        .into_iter()
        .flat_map(|team| &team.guarantees)
        .map(|g| u32::from(g.accelerators) * u32::from(g.count))
        .sum();
    total > guaranteed_total
}
