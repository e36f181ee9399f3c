//! Checks whether a fleet can satisfy all guarantees, and describes shortfalls.

use std::collections::BTreeMap;

use thiserror::Error;

use super::EndpointSpec;
use super::cells::Cells;
use super::fleet::Fleet;
use super::pack;
use crate::name::{EndpointName, PoolName, TeamName};
use crate::team::{Guarantee, Level, Team};

/// A guarantee that the fleet cannot satisfy together with all others.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "the endpoints of pool {} have no room for {missing} of the {} guaranteed to team {team}: each needs {}",
    .guarantee.pool, sets(.guarantee), needs(.guarantee)
)]
pub struct Shortfall {
    /// The team.
    pub team: TeamName,
    /// The guarantee.
    pub guarantee: Guarantee,
    /// Number of guaranteed sets that do not fit.
    pub missing: u16,
}

fn sets(guarantee: &Guarantee) -> String {
    match guarantee.count {
        1 => "1 set".to_owned(),
        count => format!("{count} sets"),
    }
}

fn needs(guarantee: &Guarantee) -> String {
    let place = match guarantee.level {
        Level::Endpoint => "on one endpoint",
        Level::Rack => "in one rack",
    };
    match guarantee.accelerators {
        1 => "1 accelerator".to_owned(),
        count => format!("{count} accelerators together {place}"),
    }
}

/// Checks that the guarantees of all teams in a pool fit its endpoints at the same time, without overlap.
pub fn fit_guarantees(
    endpoints: &BTreeMap<EndpointName, EndpointSpec>,
    pool: &PoolName,
    teams: &BTreeMap<TeamName, Team>,
) -> Result<(), Shortfall> {
    let mut fleet = Fleet::default();
    for spec in endpoints.values() {
        fleet.upsert(spec.clone());
    }
    let mut cells = Cells::default();
    pack::reconcile(&mut cells, &mut fleet, pool, teams);
    pack::repair_cells(&mut cells, &mut fleet);
    match shortfalls(&cells, &fleet, pool).into_iter().next() {
        Some(shortfall) => Err(shortfall),
        None => Ok(()),
    }
}

/// Guarantees that have cells without enough accelerators on usable endpoints.
pub(super) fn shortfalls(cells: &Cells, fleet: &Fleet, pool: &PoolName) -> Vec<Shortfall> {
    let mut missing = BTreeMap::<(&TeamName, Level, u32), u16>::new();
    for &index in &cells.to_repair {
        if cells.is_intact(fleet, index) {
            continue;
        }
        let cell = cells.cell(index);
        *missing.entry((&cell.team, cell.level, cell.size)).or_default() += 1;
    }
    let mut all = Vec::new();
    for ((team, level, size), missing) in missing {
        let mut count = 0;
        for &index in cells.of_team(team) {
            let cell = cells.cell(index);
            count += u16::from(cell.level == level && cell.size == size);
        }
        all.push(Shortfall {
            team: team.clone(),
            guarantee: Guarantee {
                pool: pool.clone(),
                level,
                accelerators: size as u16,
                count,
            },
            missing,
        });
    }
    all
}
