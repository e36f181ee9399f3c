//! Exact search over all assignments of endpoint-level sets, used to check the guarantee invariant on small fleets.

use std::collections::BTreeMap;

use yuccaridge::name::{EndpointName, TeamName};

use super::world::World;

/// A guaranteed set: index of the team and number of accelerators.
type Set = (usize, u32);

#[derive(Debug)]
struct Search {
    sets: Vec<Set>,
    room: Vec<u32>,
    /// Accelerators that each team's jobs hold inside the guarantee, by endpoint.
    held: Vec<Vec<u32>>,
    given: Vec<Vec<u32>>,
}

impl Search {
    fn covered(&self) -> bool {
        for (held, given) in self.held.iter().zip(&self.given) {
            if held.iter().zip(given).any(|(held, given)| held > given) {
                return false;
            }
        }
        true
    }

    fn fits(&mut self, next: usize) -> bool {
        let Some(&(team, size)) = self.sets.get(next) else {
            return self.covered();
        };
        for endpoint in 0..self.room.len() {
            if self.room[endpoint] < size {
                continue;
            }
            self.room[endpoint] -= size;
            self.given[team][endpoint] += size;
            if self.fits(next + 1) {
                return true;
            }
            self.room[endpoint] += size;
            self.given[team][endpoint] -= size;
        }
        false
    }
}

/// Whether all guaranteed sets fit at the same time, with each guaranteed job inside the sets of its own team.
pub fn sets_fit<P>(world: &World<P>) -> bool {
    let mut endpoints = BTreeMap::<&EndpointName, usize>::new();
    let mut room = Vec::new();
    for (name, spec) in &world.endpoints {
        if !world.closed.contains(name) {
            endpoints.insert(name, room.len());
            room.push(u32::from(spec.accelerators));
        }
    }
    let names = world.teams.keys().collect::<Vec<&TeamName>>();
    let mut sets = Vec::new();
    for (index, team) in world.teams.values().enumerate() {
        for guarantee in &team.guarantees {
            for _ in 0..guarantee.count {
                sets.push((index, u32::from(guarantee.accelerators)));
            }
        }
    }
    sets.sort_by_key(|&(_, size)| std::cmp::Reverse(size));
    let mut held = vec![vec![0; room.len()]; names.len()];
    for running in world.running.values().filter(|running| running.guaranteed) {
        let Some(team) = names.iter().position(|name| **name == running.job.team) else {
            continue;
        };
        for seat in &running.seats {
            if let Some(&endpoint) = endpoints.get(&seat.endpoint) {
                held[team][endpoint] += seat.accelerators.len() as u32;
            }
        }
    }
    let given = vec![vec![0; room.len()]; names.len()];
    Search {
        sets,
        room,
        held,
        given,
    }
    .fits(0)
}
