//! The pool's endpoints as the planner sees them.

use std::collections::BTreeMap;

use super::endpoint_link::Contact;
use crate::accept::pool_holds;
use crate::name::EndpointName;
use crate::plan::Event;
use crate::platform::{ListedEndpoint, Presence};
use crate::team::Pool;
use crate::time::Millis;

/// What the decision core was last told of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    /// Nothing yet.
    No,
    Up,
    Leaving,
    Down,
}

#[derive(Debug, Clone)]
struct Standing {
    listed: ListedEndpoint,
    /// Whether it is in the list now; an unlisted one gets nothing new.
    present: bool,
    shown: Shown,
}

/// The endpoints of the pool.
#[derive(Debug, Default, Clone)]
pub(super) struct Fleet {
    standings: BTreeMap<EndpointName, Standing>,
    pub contacts: BTreeMap<EndpointName, Contact>,
}

impl Fleet {
    /// Takes in the list and what was heard; what the decision core must be told.
    pub fn refresh(
        &mut self,
        now: Millis,
        pool: &Pool,
        listed: &BTreeMap<EndpointName, ListedEndpoint>,
        renewed: Millis,
    ) -> Vec<Event> {
        for standing in self.standings.values_mut() {
            standing.present = false;
        }
        for endpoint in listed.values() {
            if !pool_holds(pool, endpoint) {
                continue;
            }
            let contact = self
                .contacts
                .entry(endpoint.name.clone())
                .or_insert_with(|| Contact::new(endpoint.address, renewed));
            contact.address = endpoint.address;
            let standing = self.standings.entry(endpoint.name.clone()).or_insert_with(|| Standing {
                listed: endpoint.clone(),
                present: true,
                shown: Shown::No,
            });
            standing.present = true;
            standing.listed.presence = endpoint.presence;
            standing.listed.address = endpoint.address;
        }
        self.standings
            .values_mut()
            .flat_map(|standing| standing.update(now, &self.contacts))
            .collect()
    }
}

impl Fleet {
    /// Whether every listed endpoint has answered once, or is down. Before that, a shape that fits nowhere says
    /// nothing.
    pub fn is_known(&self, now: Millis) -> bool {
        let known = |contact: &Contact| contact.boot.is_some() || contact.is_down(now);
        !self.standings.is_empty()
            && self
                .standings
                .keys()
                .filter_map(|name| self.contacts.get(name))
                .all(known)
    }
}

impl Standing {
    fn update(&mut self, now: Millis, contacts: &BTreeMap<EndpointName, Contact>) -> Vec<Event> {
        let name = self.listed.name.clone();
        let Some(contact) = contacts.get(&name) else {
            return Vec::new();
        };
        let wanted = match (contact.is_down(now), contact.boot, self.present, self.listed.presence) {
            (true, ..) => Shown::Down,
            (false, None, ..) => self.shown,
            (false, Some(_), true, Presence::Live) => Shown::Up,
            (false, Some(_), ..) => Shown::Leaving,
        };
        let before = std::mem::replace(&mut self.shown, wanted);
        if wanted == before {
            return Vec::new();
        }
        let mut events = Vec::new();
        // The core must know the size of an endpoint that is down or leaving: a job that fits only there is not
        // impossible.
        if before == Shown::No || wanted == Shown::Up {
            events.push(Event::EndpointUp((&self.listed).into()));
        }
        match wanted {
            Shown::No | Shown::Up => {}
            Shown::Leaving => events.push(Event::EndpointLeaving(name)),
            Shown::Down => events.push(Event::EndpointDown(name)),
        }
        events
    }
}
