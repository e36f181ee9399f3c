//! Packing of cells: repair after losses, repacking in several orders, and adjustment to changed teams.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::cells::{Cell, Cells, Piece};
use super::fleet::Fleet;
use super::mask;
use crate::name::{PoolName, TeamName};
use crate::team::{Level, Team};

/// Key that cells are sorted by for packing. Large endpoint cells are the hardest to place unless racks are nearly
/// full.
type SortKey = fn(&Cell) -> (u8, Reverse<u32>, u8);

/// Cells and the accelerators assigned to them.
type Places = Vec<(usize, Vec<Piece>)>;

const SORT_KEYS: [SortKey; 3] = [
    |cell| (0, Reverse(cell.size), is_rack_level(cell)),
    |cell| (is_rack_level(cell), Reverse(cell.size), 0),
    |cell| (1 - is_rack_level(cell), Reverse(cell.size), 0),
];

fn is_rack_level(cell: &Cell) -> u8 {
    u8::from(cell.level == Level::Rack)
}

/// Repairs the used cells and assigns new accelerators to all unused ones, so that as few accelerators as possible are
/// missing.
fn repack(cells: &mut Cells, fleet: &mut Fleet) {
    let mut unused = Vec::new();
    for index in 0..cells.all().len() {
        if !cells.is_used(fleet, index) {
            unused.push(index);
        }
    }
    let mut best: Option<(u32, Places)> = None;
    for &index in &unused {
        cells.take_pieces(fleet, index);
    }
    for index in 0..cells.all().len() {
        if cells.is_used(fleet, index) && !cells.is_intact(fleet, index) {
            cells.repair(fleet, index);
        }
    }
    for key in SORT_KEYS {
        unused.sort_by_key(|&index| key(cells.cell(index)));
        let mut missing = 0;
        for &index in &unused {
            if !cells.place(fleet, index) {
                missing += cells.cell(index).size;
            }
        }
        if missing == 0 {
            return;
        }
        let mut places = Places::new();
        for &index in &unused {
            places.push((index, cells.take_pieces(fleet, index)));
        }
        if best.as_ref().is_none_or(|(least, _)| missing < *least) {
            best = Some((missing, places));
        }
    }
    for (index, pieces) in best.map(|(_, places)| places).unwrap_or_default() {
        cells.add_pieces(fleet, index, &pieces);
    }
}

/// Repairs cells that lack accelerators or lie on unusable endpoints.
pub(super) fn repair_cells(cells: &mut Cells, fleet: &mut Fleet) {
    for index in std::mem::take(&mut cells.to_repair) {
        if cells.is_intact(fleet, index) {
            continue;
        }
        if cells.is_used(fleet, index) {
            cells.repair(fleet, index);
        } else {
            cells.take_pieces(fleet, index);
            cells.place(fleet, index);
        }
        if !cells.is_intact(fleet, index) {
            cells.to_repair.insert(index);
        }
    }
    if !cells.to_repair.is_empty() {
        repack(cells, fleet);
        let all = 0..cells.all().len();
        cells.to_repair = all.filter(|&index| !cells.is_intact(fleet, index)).collect();
    }
}

/// Replaces the cells by those that the teams' guarantees call for now. Cells that remain keep their accelerators, used
/// ones first.
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
    // Jobs still count as using the old cells until they are matched to the new ones.
    let mut used = Vec::new();
    for index in 0..cells.all().len() {
        used.push(cells.is_used(fleet, index));
    }
    let mut old = BTreeMap::<(TeamName, Level, u32), Vec<(bool, Vec<Piece>)>>::new();
    for (cell, used) in cells.take_all(fleet).into_iter().zip(used) {
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
            cells.add_pieces(fleet, index, &pieces);
        }
        if cells.is_intact(fleet, index) {
            cells.to_repair.remove(&index);
        }
    }
}

/// Assigns the accelerators that a guaranteed job holds to cells of its team; `false` if the cells do not suffice.
pub(super) fn match_held(cells: &mut Cells, fleet: &mut Fleet, team: &TeamName, held: &BTreeMap<usize, u64>) -> bool {
    for (&endpoint, &mask) in held {
        for index in cells.on_endpoint(endpoint).to_vec() {
            let cell = cells.cell(index);
            let overlaps = |piece: &Piece| piece.endpoint == endpoint && piece.mask & mask != 0;
            if cell.team != *team && cell.pieces.iter().any(overlaps) {
                cells.take_pieces(fleet, index);
                cells.to_repair.insert(index);
            }
        }
        let own = cells.team_masks(team).get(&endpoint).copied().unwrap_or(0);
        let mut rest = mask & !own;
        while rest != 0 {
            let Some((index, size)) = best_cell_for(cells, fleet, team, endpoint, rest.count_ones(), held.len() > 1)
            else {
                return false;
            };
            let taken = mask::lowest(rest, size);
            if !cells.is_used(fleet, index) {
                cells.take_pieces(fleet, index);
            }
            cells.exchange(fleet, index, Piece { endpoint, mask: taken });
            cells.to_repair.insert(index);
            rest &= !taken;
        }
    }
    true
}

/// The team's cell that fits `size` accelerators of an endpoint best, and how many of them it can take. Rack cells are
/// preferred for gangs, endpoint cells otherwise.
fn best_cell_for(
    cells: &Cells,
    fleet: &Fleet,
    team: &TeamName,
    endpoint: usize,
    size: u32,
    is_gang: bool,
) -> Option<(usize, u32)> {
    let rack = fleet.endpoint(endpoint).rack;
    let mut best = None;
    for &index in cells.of_team(team) {
        let cell = cells.cell(index);
        let used = cells.is_used(fleet, index);
        let home = cell.pieces.first().map(|piece| fleet.endpoint(piece.endpoint).rack);
        let unused_size = cells.unused_size(fleet, index);
        let in_reach = match cell.level {
            Level::Endpoint => !used,
            Level::Rack => !used || home == Some(rack),
        };
        if !in_reach || unused_size == 0 {
            continue;
        }
        let level_mismatch = (cell.level == Level::Rack) != is_gang;
        let key = (
            unused_size < size,
            level_mismatch,
            !used,
            unused_size.abs_diff(size),
            index,
        );
        if best.is_none_or(|(least, _)| key < least) {
            best = Some((key, unused_size.min(size)));
        }
    }
    best.map(|((.., index), size)| (index, size))
}
