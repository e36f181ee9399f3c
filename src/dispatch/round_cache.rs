//! What a scheduling round computes at most once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::advice_candidate::AdviceCandidate;
use super::reservation::Reservation;
use super::victim_table::VictimTable;

/// Results that several units of a round share.
#[derive(Debug, Default)]
pub(super) struct RoundCache {
    /// Units that any urgent unit may stop.
    pub victims: Option<VictimTable>,
    /// The same with the urgent jobs beyond the guarantees of their teams.
    pub with_borrowers: Option<VictimTable>,
    /// Urgent jobs within the guarantees of their teams.
    pub guaranteed: Option<BTreeSet<Arc<str>>>,
    /// Endpoints reserved for blocked gangs, by job and position of the unit.
    pub reservations: BTreeMap<(Arc<str>, usize), Reservation>,
    /// Steps that could use advice.
    pub advice: Vec<AdviceCandidate>,
}

impl RoundCache {
    /// The table from which victims are taken. The other one numbers its victims in another way; it is dropped, and made anew
    /// if it is needed again.
    pub fn only_table(&mut self, with_borrowers: bool) -> Option<&mut VictimTable> {
        let (table, other) = if with_borrowers {
            (&mut self.with_borrowers, &mut self.victims)
        } else {
            (&mut self.victims, &mut self.with_borrowers)
        };
        *other = None;
        table.as_mut()
    }

    /// Number of units that the round has considered to stop; `None` if it has looked for none.
    pub fn victims_looked_at(&self) -> Option<usize> {
        let tables = self.victims.iter().chain(&self.with_borrowers);
        tables.map(VictimTable::len).max()
    }
}
