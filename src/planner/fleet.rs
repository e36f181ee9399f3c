//! The pool's workers as the planner sees them.

use std::collections::BTreeMap;

use super::contact::Contact;
use crate::accept::pool_holds;
use crate::name::WorkerName;
use crate::plan::Event;
use crate::platform::{ListedWorker, Presence};
use crate::team::Pool;
use crate::time::Millis;

/// What the decision core was last told of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    Up,
    Leaving,
    Down,
}

#[derive(Debug, Clone)]
struct Standing {
    listed: ListedWorker,
    /// Whether it is in the list now; an unlisted one gets nothing new.
    present: bool,
    shown: Shown,
}

/// The workers of the pool.
#[derive(Debug, Default, Clone)]
pub(super) struct Fleet {
    standings: BTreeMap<WorkerName, Standing>,
    pub contacts: BTreeMap<WorkerName, Contact>,
}

impl Fleet {
    /// Takes in the list and what was heard; what the decision core must be told.
    pub fn refresh(
        &mut self,
        now: Millis,
        pool: &Pool,
        listed: &BTreeMap<WorkerName, ListedWorker>,
        renewed: Millis,
    ) -> Vec<Event> {
        for standing in self.standings.values_mut() {
            standing.present = false;
        }
        for worker in listed.values() {
            if !pool_holds(pool, worker) {
                continue;
            }
            let contact = self
                .contacts
                .entry(worker.name.clone())
                .or_insert_with(|| Contact::new(worker.address, renewed));
            contact.address = worker.address;
            let standing = self.standings.entry(worker.name.clone()).or_insert_with(|| Standing {
                listed: worker.clone(),
                present: true,
                shown: Shown::Down,
            });
            standing.present = true;
            standing.listed.presence = worker.presence;
            standing.listed.address = worker.address;
        }
        self.standings
            .values_mut()
            .filter_map(|standing| standing.update(now, &self.contacts))
            .collect()
    }
}

impl Standing {
    fn update(&mut self, now: Millis, contacts: &BTreeMap<WorkerName, Contact>) -> Option<Event> {
        let name = &self.listed.name;
        let contact = contacts.get(name)?;
        let wanted = match (
            contact.is_down(now) || contact.boot.is_none(),
            self.present,
            self.listed.presence,
        ) {
            (true, _, _) => Shown::Down,
            (false, true, Presence::Live) => Shown::Up,
            (false, _, _) => Shown::Leaving,
        };
        if wanted == self.shown {
            return None;
        }
        let before = std::mem::replace(&mut self.shown, wanted);
        match (before, wanted) {
            // A worker that was never shown as up is not worth telling of.
            (Shown::Down, Shown::Leaving) => None,
            (_, Shown::Up) => Some(Event::WorkerUp((&self.listed).into())),
            (_, Shown::Leaving) => Some(Event::WorkerLeaving(name.clone())),
            (_, Shown::Down) => Some(Event::WorkerDown(name.clone())),
        }
    }
}
