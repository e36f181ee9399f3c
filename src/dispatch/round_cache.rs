//! What a scheduling round computes at most once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::advice_calls::ON_TIME_MAX;
use super::advice_candidate::AdviceCandidate;
use super::place::{self, Demand};
use super::pool_view::PoolView;
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
    /// Number of units whose resources are kept while their calls for advice are under way.
    kept_for_advice: usize,
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

    /// Keeps the resources that a unit may get once its call for advice is answered from the jobs behind it in the round, for as
    /// many units as calls can be under way. The unit would otherwise wait for as long as there is other work.
    pub fn keep_for_advice(&mut self, views: &mut PoolView, demand: &Demand<'_>) {
        if self.kept_for_advice == ON_TIME_MAX {
            return;
        }
        for index in place::place(views, &demand.with_prospects()).into_iter().flatten() {
            views.take(index, &demand.need);
        }
        self.kept_for_advice += 1;
    }

    /// Number of units that the round has considered to stop; `None` if it has looked for none.
    pub fn victims_looked_at(&self) -> Option<usize> {
        let tables = self.victims.iter().chain(&self.with_borrowers);
        tables.map(VictimTable::len).max()
    }
}
