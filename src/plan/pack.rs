//! Packing of guaranteed cells: orders to try, repair after losses, changed teams.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::cells::{Cell, Cells, Piece};
use super::fleet::Fleet;
use super::mask;
use crate::name::{PoolName, TeamName};
use crate::team::{Level, Team};

/// Sorts cells for packing; large cells of one endpoint are the hardest to place unless racks are nearly full.
type Key = fn(&Cell) -> (u8, Reverse<u32>, u8);

/// Cells and their places.
type Places = Vec<(usize, Vec<Piece>)>;

const ORDERS: [Key; 3] = [
    |cell| (0, Reverse(cell.size), level(cell)),
    |cell| (level(cell), Reverse(cell.size), 0),
    |cell| (1 - level(cell), Reverse(cell.size), 0),
];

fn level(cell: &Cell) -> u8 {
    u8::from(cell.level == Level::Rack)
}

/// Finds new places for all unused cells, as many as possible.
fn repack(cells: &mut Cells, fleet: &mut Fleet) {
    let mut loose = Vec::new();
    for index in 0..cells.all().len() {
        if !cells.used(fleet, index) {
            loose.push(index);
        }
    }
    let mut best: Option<(u32, Places)> = None;
    for &index in &loose {
        cells.lift(fleet, index);
    }
    for index in 0..cells.all().len() {
        if cells.used(fleet, index) && !cells.sound(fleet, index) {
            cells.mend(fleet, index);
        }
    }
    for key in ORDERS {
        loose.sort_by_key(|&index| key(cells.cell(index)));
        let mut missing = 0;
        for &index in &loose {
            if !cells.place(fleet, index) {
                missing += cells.cell(index).size;
            }
        }
        if missing == 0 {
            return;
        }
        let mut places = Places::new();
        for &index in &loose {
            places.push((index, cells.lift(fleet, index)));
        }
        if best.as_ref().is_none_or(|(least, _)| missing < *least) {
            best = Some((missing, places));
        }
    }
    for (index, pieces) in best.map(|(_, places)| places).unwrap_or_default() {
        cells.lay(fleet, index, &pieces);
    }
}

/// Repairs cells that are short or lie on endpoints that cannot be used.
pub(super) fn settle(cells: &mut Cells, fleet: &mut Fleet) {
    for index in std::mem::take(&mut cells.bad) {
        if cells.sound(fleet, index) {
            continue;
        }
        if cells.used(fleet, index) {
            cells.mend(fleet, index);
        } else {
            cells.lift(fleet, index);
            cells.place(fleet, index);
        }
        if !cells.sound(fleet, index) {
            cells.bad.insert(index);
        }
    }
    if !cells.bad.is_empty() {
        repack(cells, fleet);
        let all = 0..cells.all().len();
        cells.bad = all.filter(|&index| !cells.sound(fleet, index)).collect();
    }
}

/// Replaces the sets by those that the teams hold now; sets that stay keep their places, used ones first.
pub(super) fn reconcile(cells: &mut Cells, fleet: &mut Fleet, pool: &PoolName, teams: &BTreeMap<TeamName, Team>) {
    let mut wanted = Vec::new();
    for (team, spec) in teams {
        for guarantee in &spec.guarantees {
            if guarantee.pool != *pool || guarantee.accelerators == 0 {
                continue;
            }
            for _ in 0..guarantee.count {
                wanted.push((team, guarantee.level, u32::from(guarantee.accelerators)));
            }
        }
    }
    // Jobs count as holding what they hold until they are matched to the new sets.
    let mut used = Vec::new();
    for index in 0..cells.all().len() {
        used.push(cells.used(fleet, index));
    }
    let mut old = BTreeMap::<(TeamName, Level, u32), Vec<(bool, Vec<Piece>)>>::new();
    for (cell, used) in cells.clear(fleet).into_iter().zip(used) {
        let key = (cell.team, cell.level, cell.size);
        old.entry(key).or_default().push((used, cell.pieces));
    }
    for places in old.values_mut() {
        places.sort_by_key(|&(used, _)| used);
    }
    for (index, (team, level, size)) in wanted.into_iter().enumerate() {
        cells.add(team, level, size);
        let places = old.get_mut(&(team.clone(), level, size));
        if let Some((_, pieces)) = places.and_then(Vec::pop) {
            cells.lay(fleet, index, &pieces);
        }
        if cells.sound(fleet, index) {
            cells.bad.remove(&index);
        }
    }
}

/// Finds cells of a team for what one of its jobs was found to hold inside its guarantee; `false` if they do not suffice.
pub(super) fn cover(cells: &mut Cells, fleet: &mut Fleet, team: &TeamName, held: &BTreeMap<usize, u64>) -> bool {
    for (&endpoint, &mask) in held {
        for index in cells.on(endpoint).to_vec() {
            let cell = cells.cell(index);
            let overlaps = |piece: &Piece| piece.endpoint == endpoint && piece.mask & mask != 0;
            if cell.team != *team && cell.pieces.iter().any(overlaps) {
                cells.lift(fleet, index);
                cells.bad.insert(index);
            }
        }
        let own = cells.own(team).get(&endpoint).copied().unwrap_or(0);
        let mut rest = mask & !own;
        while rest != 0 {
            let Some((index, size)) = suitable(cells, fleet, team, endpoint, rest.count_ones(), held.len() > 1) else {
                return false;
            };
            let taken = mask::lowest(rest, size);
            if !cells.used(fleet, index) {
                cells.lift(fleet, index);
            }
            cells.trade(fleet, index, Piece { endpoint, mask: taken });
            cells.bad.insert(index);
            rest &= !taken;
        }
    }
    true
}

/// A cell that can take up to `size` accelerators of an endpoint, and how many; gangs look at rack cells first.
fn suitable(
    cells: &Cells,
    fleet: &Fleet,
    team: &TeamName,
    endpoint: usize,
    size: u32,
    wide: bool,
) -> Option<(usize, u32)> {
    let rack = fleet.endpoint(endpoint).rack;
    let mut best = None;
    for &index in cells.of(team) {
        let cell = cells.cell(index);
        let used = cells.used(fleet, index);
        let home = cell.pieces.first().map(|piece| fleet.endpoint(piece.endpoint).rack);
        let loose = cells.loose(fleet, index);
        let near = match cell.level {
            Level::Endpoint => !used,
            Level::Rack => !used || home == Some(rack),
        };
        if !near || loose == 0 {
            continue;
        }
        let misfit = (cell.level == Level::Rack) != wide;
        let key = (loose < size, misfit, !used, loose.abs_diff(size), index);
        if best.is_none_or(|(least, _)| key < least) {
            best = Some((key, loose.min(size)));
        }
    }
    best.map(|((.., index), size)| (index, size))
}
