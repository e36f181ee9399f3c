//! Assignment of guaranteed sets to accelerators.
//!
//! Each guaranteed set is a cell with accelerators of its own. Cells never overlap. The accelerators of a cell are
//! free, or held by borrowers or by guaranteed jobs of the cell's team; guaranteed jobs of other teams are never placed
//! on them. As long as every cell has its accelerators, all unused guaranteed sets can be claimed at the same time. An
//! unused cell may move or change places with another one, which costs nothing, since only borrowers run in it.

use std::collections::{BTreeMap, BTreeSet};

use super::endpoint::Endpoint;
use super::fleet::Fleet;
use super::mask;
use crate::name::TeamName;
use crate::team::Level;

/// Accelerators of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Piece {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The accelerators.
    pub mask: u64,
}

/// One guaranteed set and the accelerators assigned to it.
#[derive(Debug, Clone)]
pub(super) struct Cell {
    /// Team that may claim it.
    pub team: TeamName,
    /// Adjacency of its accelerators.
    pub level: Level,
    /// Number of accelerators.
    pub size: u32,
    /// Accelerators assigned to it.
    pub pieces: Vec<Piece>,
}

impl Cell {
    /// Number of accelerators assigned to it.
    pub(super) fn count(&self) -> u32 {
        count(&self.pieces)
    }
}

fn count(pieces: &[Piece]) -> u32 {
    pieces.iter().map(|piece| piece.mask.count_ones()).sum()
}

/// All cells of the pool.
#[derive(Debug, Default)]
pub(super) struct Cells {
    list: Vec<Cell>,
    by_team: BTreeMap<TeamName, Vec<usize>>,
    by_endpoint: Vec<Vec<usize>>,
    /// Cells to check and repair: they may lack accelerators or lie on unusable endpoints.
    pub to_repair: BTreeSet<usize>,
}

impl Cells {
    pub(super) fn all(&self) -> &[Cell] {
        &self.list
    }

    pub(super) fn cell(&self, index: usize) -> &Cell {
        &self.list[index]
    }

    /// Indices of a team's cells.
    pub(super) fn of_team(&self, team: &TeamName) -> &[usize] {
        self.by_team.get(team).map_or(&[], Vec::as_slice)
    }

    /// Indices of the cells on an endpoint.
    pub(super) fn on_endpoint(&self, endpoint: usize) -> &[usize] {
        self.by_endpoint.get(endpoint).map_or(&[], Vec::as_slice)
    }

    /// Accelerators of a team's cells, by endpoint.
    pub(super) fn team_masks(&self, team: &TeamName) -> BTreeMap<usize, u64> {
        let mut own = BTreeMap::new();
        for &index in self.of_team(team) {
            for piece in &self.list[index].pieces {
                *own.entry(piece.endpoint).or_default() |= piece.mask;
            }
        }
        own
    }

    /// Adds a cell without accelerators.
    pub(super) fn add(&mut self, team: &TeamName, level: Level, size: u32) {
        let index = self.list.len();
        self.list.push(Cell {
            team: team.clone(),
            level,
            size,
            pieces: Vec::new(),
        });
        self.by_team.entry(team.clone()).or_default().push(index);
        self.to_repair.insert(index);
    }

    /// Removes all cells and returns them with the accelerators that they had.
    pub(super) fn take_all(&mut self, fleet: &mut Fleet) -> Vec<Cell> {
        for index in 0..self.list.len() {
            let pieces = self.take_pieces(fleet, index);
            self.list[index].pieces = pieces;
        }
        self.by_team.clear();
        self.by_endpoint.clear();
        self.to_repair.clear();
        std::mem::take(&mut self.list)
    }

    /// Whether part of the cell is held by a guaranteed job or claimed.
    pub(super) fn is_used(&self, fleet: &Fleet, index: usize) -> bool {
        for piece in &self.list[index].pieces {
            let endpoint = fleet.endpoint(piece.endpoint);
            if (endpoint.guaranteed | endpoint.claimed) & piece.mask != 0 {
                return true;
            }
        }
        false
    }

    /// Removes a cell's accelerators from it and returns them.
    pub(super) fn take_pieces(&mut self, fleet: &mut Fleet, index: usize) -> Vec<Piece> {
        let pieces = std::mem::take(&mut self.list[index].pieces);
        for piece in &pieces {
            fleet.update(piece.endpoint, |endpoint| endpoint.cells &= !piece.mask);
            if let Some(indices) = self.by_endpoint.get_mut(piece.endpoint) {
                indices.retain(|&other| other != index);
            }
        }
        pieces
    }

    /// Assigns further accelerators to a cell.
    pub(super) fn add_pieces(&mut self, fleet: &mut Fleet, index: usize, pieces: &[Piece]) {
        for piece in pieces {
            fleet.update(piece.endpoint, |endpoint| endpoint.cells |= piece.mask);
            if self.by_endpoint.len() <= piece.endpoint {
                self.by_endpoint.resize(piece.endpoint + 1, Vec::new());
            }
            if !self.by_endpoint[piece.endpoint].contains(&index) {
                self.by_endpoint[piece.endpoint].push(index);
            }
            let cell = &mut self.list[index];
            match cell.pieces.iter_mut().find(|own| own.endpoint == piece.endpoint) {
                Some(own) => own.mask |= piece.mask,
                None => cell.pieces.push(*piece),
            }
        }
    }

    /// Exchanges the accelerators of two unused cells.
    pub(super) fn swap(&mut self, fleet: &mut Fleet, one: usize, other: usize) {
        let first = self.take_pieces(fleet, one);
        let second = self.take_pieces(fleet, other);
        self.add_pieces(fleet, one, &second);
        self.add_pieces(fleet, other, &first);
    }

    /// Assigns the best-fitting accelerators to a cell that has none; `false` if there are not enough.
    pub(super) fn place(&mut self, fleet: &mut Fleet, index: usize) -> bool {
        let size = self.list[index].size;
        let pieces = match self.list[index].level {
            Level::Endpoint => best_endpoint_piece(fleet, size).map(|piece| vec![piece]),
            Level::Rack => best_rack_pieces(fleet, size, unassigned_if_whole)
                .or_else(|| best_rack_pieces(fleet, size, Endpoint::unassigned)),
        };
        let Some(pieces) = pieces else {
            return false;
        };
        self.add_pieces(fleet, index, &pieces);
        true
    }

    /// Replaces the lost accelerators of a used cell by others of the same endpoint or rack.
    pub(super) fn repair(&mut self, fleet: &mut Fleet, index: usize) {
        let pieces = self.take_pieces(fleet, index);
        let mut kept = Vec::new();
        for piece in pieces {
            let endpoint = fleet.endpoint(piece.endpoint);
            let taken = (endpoint.guaranteed | endpoint.claimed) & piece.mask;
            let mask = if endpoint.usable() {
                piece.mask & endpoint.mask
            } else {
                taken
            };
            if mask != 0 {
                kept.push(Piece { mask, ..piece });
            }
        }
        self.add_pieces(fleet, index, &kept);
        let Some(first) = kept.first() else {
            return;
        };
        let home = fleet.endpoint(first.endpoint);
        let endpoints = match self.list[index].level {
            Level::Endpoint => vec![first.endpoint],
            Level::Rack => fleet.racks()[home.rack].endpoints.clone(),
        };
        for endpoint_index in endpoints {
            let missing = self.list[index].size.saturating_sub(self.list[index].count());
            let endpoint = fleet.endpoint(endpoint_index);
            if missing == 0 || !endpoint.usable() {
                continue;
            }
            let size = missing.min(endpoint.unassigned().count_ones());
            if let Some(mask) = mask::pick(endpoint.unassigned(), size) {
                self.add_pieces(
                    fleet,
                    index,
                    &[Piece {
                        endpoint: endpoint_index,
                        mask,
                    }],
                );
            }
        }
    }

    /// Assigns accelerators that a job of the cell's team was found to hold, in exchange for unused ones of the cell.
    pub(super) fn exchange(&mut self, fleet: &mut Fleet, index: usize, held: Piece) {
        let mut pieces = self.take_pieces(fleet, index);
        let mut left = held
            .mask
            .count_ones()
            .saturating_sub(self.list[index].size.saturating_sub(count(&pieces)));
        for piece in &mut pieces {
            let endpoint = fleet.endpoint(piece.endpoint);
            let droppable = piece.mask & !endpoint.guaranteed & !endpoint.claimed;
            let drop = mask::lowest(droppable, left.min(droppable.count_ones()));
            piece.mask &= !drop;
            left -= drop.count_ones();
        }
        pieces.retain(|piece| piece.mask != 0);
        pieces.push(held);
        self.add_pieces(fleet, index, &pieces);
    }

    /// Size of a cell less the accelerators in it that are held by guaranteed jobs or claimed.
    pub(super) fn unused_size(&self, fleet: &Fleet, index: usize) -> u32 {
        let cell = &self.list[index];
        let mut taken = 0;
        for piece in &cell.pieces {
            let endpoint = fleet.endpoint(piece.endpoint);
            taken += (piece.mask & (endpoint.guaranteed | endpoint.claimed)).count_ones();
        }
        cell.size.saturating_sub(taken)
    }

    /// Number of members with this many accelerators each that a cell can hold.
    pub(super) fn fitting_members(&self, index: usize, accelerators: u16) -> u32 {
        let mut members = 0;
        for piece in &self.list[index].pieces {
            members += piece.mask.count_ones() / u32::from(accelerators.max(1));
        }
        members
    }

    /// Whether a cell has all its accelerators and they are on usable endpoints.
    pub(super) fn is_intact(&self, fleet: &Fleet, index: usize) -> bool {
        let cell = &self.list[index];
        for piece in &cell.pieces {
            let endpoint = fleet.endpoint(piece.endpoint);
            if !endpoint.usable() || piece.mask & !endpoint.mask != 0 {
                return false;
            }
        }
        cell.count() >= cell.size
    }
}

/// Best-fitting accelerators on one endpoint; endpoints with enough cores, memory and slots are preferred.
fn best_endpoint_piece(fleet: &Fleet, size: u32) -> Option<Piece> {
    let mut fallback = None;
    for (index, endpoint) in fleet.with_unassigned(size) {
        let Some(mask) = mask::pick(endpoint.unassigned(), size) else {
            continue;
        };
        let piece = Piece { endpoint: index, mask };
        if endpoint.has_room_for_cell(size) {
            return Some(piece);
        }
        fallback = fallback.or(Some(piece));
    }
    fallback
}

/// An endpoint's accelerators if all of them are unassigned, otherwise none; members of a gang often need whole
/// endpoints.
pub(super) fn unassigned_if_whole(endpoint: &Endpoint) -> u64 {
    if endpoint.unassigned() == endpoint.mask {
        endpoint.mask
    } else {
        0
    }
}

/// Best-fitting accelerators in one rack, chosen from those that `allowed` returns for each endpoint.
pub(super) fn best_rack_pieces<F>(fleet: &Fleet, size: u32, allowed: F) -> Option<Vec<Piece>>
where
    F: Fn(&Endpoint) -> u64,
{
    let mut best: Option<(u32, usize)> = None;
    for (index, rack) in fleet.racks().iter().enumerate() {
        if rack.unassigned < size || best.is_some_and(|(least, _)| least <= rack.unassigned) {
            continue;
        }
        let mut total = 0;
        for &endpoint_index in &rack.endpoints {
            let endpoint = fleet.endpoint(endpoint_index);
            if endpoint.usable() {
                total += allowed(endpoint).count_ones();
            }
        }
        if total >= size {
            best = Some((rack.unassigned, index));
        }
    }
    pieces_in_rack(fleet, best?.1, size, allowed)
}

/// Takes the whole offers of endpoints as long as the size allows, then a fitting block for the rest.
fn pieces_in_rack<F>(fleet: &Fleet, rack: usize, size: u32, allowed: F) -> Option<Vec<Piece>>
where
    F: Fn(&Endpoint) -> u64,
{
    let mut offers = Vec::new();
    for &endpoint_index in &fleet.racks()[rack].endpoints {
        let endpoint = fleet.endpoint(endpoint_index);
        let mask = allowed(endpoint);
        if endpoint.usable() && mask != 0 {
            offers.push((mask.count_ones(), endpoint_index, mask));
        }
    }
    offers.sort_unstable_by(|a, b| b.cmp(a));
    let mut left = size;
    let mut pieces = Vec::new();
    while left > 0 {
        let whole = offers.iter().position(|&(count, ..)| count <= left);
        let index = whole.or(offers.len().checked_sub(1))?;
        let (count, endpoint, mask) = offers.remove(index);
        let mask = mask::pick(mask, count.min(left))?;
        left -= mask.count_ones();
        pieces.push(Piece { endpoint, mask });
    }
    Some(pieces)
}
