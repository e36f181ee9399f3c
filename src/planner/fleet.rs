//! The pool's endpoints, their connections and what the policy knows of them.

use std::collections::BTreeMap;

use super::endpoint_link::EndpointLink;
use crate::accept::pool_contains;
use crate::name::EndpointName;
use crate::plan::Event;
use crate::platform::{ListedEndpoint, Presence};
use crate::team::Pool;
use crate::time::Millis;

/// State of an endpoint that was last reported to the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PublishedState {
    /// Not reported yet.
    Unknown,
    Up,
    Leaving,
    Down,
}

#[derive(Debug, Clone)]
struct EndpointStatus {
    listed: ListedEndpoint,
    /// Whether it is in the list now; an unlisted endpoint gets no new work.
    is_listed: bool,
    published: PublishedState,
}

/// The endpoints of a pool.
#[derive(Debug, Default, Clone)]
pub(super) struct Fleet {
    statuses: BTreeMap<EndpointName, EndpointStatus>,
    pub links: BTreeMap<EndpointName, EndpointLink>,
}

impl Fleet {
    /// Updates the endpoints from the list and their connections; returns the events for the policy.
    pub fn refresh(
        &mut self,
        now: Millis,
        pool: &Pool,
        listed: &BTreeMap<EndpointName, ListedEndpoint>,
        renewed_until: Millis,
    ) -> Vec<Event> {
        for status in self.statuses.values_mut() {
            status.is_listed = false;
        }
        for endpoint in listed.values() {
            if !pool_contains(pool, endpoint) {
                continue;
            }
            let link = self
                .links
                .entry(endpoint.name.clone())
                .or_insert_with(|| EndpointLink::new(endpoint.address, renewed_until));
            link.address = endpoint.address;
            let status = self
                .statuses
                .entry(endpoint.name.clone())
                .or_insert_with(|| EndpointStatus {
                    listed: endpoint.clone(),
                    is_listed: true,
                    published: PublishedState::Unknown,
                });
            status.is_listed = true;
            status.listed.presence = endpoint.presence;
            status.listed.address = endpoint.address;
        }
        self.statuses
            .values_mut()
            .flat_map(|status| status.update(now, &self.links))
            .collect()
    }
}

impl Fleet {
    /// Whether every listed endpoint has answered once or is down. Before that, a shape that fits nowhere is no proof
    /// that its job is impossible.
    pub fn all_probed(&self, now: Millis) -> bool {
        let known = |link: &EndpointLink| link.boot.is_some() || link.is_down(now);
        !self.statuses.is_empty() && self.statuses.keys().filter_map(|name| self.links.get(name)).all(known)
    }
}

impl EndpointStatus {
    fn update(&mut self, now: Millis, links: &BTreeMap<EndpointName, EndpointLink>) -> Vec<Event> {
        let name = self.listed.name.clone();
        let Some(link) = links.get(&name) else {
            return Vec::new();
        };
        let wanted = match (link.is_down(now), link.boot, self.is_listed, self.listed.presence) {
            (true, ..) => PublishedState::Down,
            (false, None, ..) => self.published,
            (false, Some(_), true, Presence::Live) => PublishedState::Up,
            (false, Some(_), ..) => PublishedState::Leaving,
        };
        let before = std::mem::replace(&mut self.published, wanted);
        if wanted == before {
            return Vec::new();
        }
        let mut events = Vec::new();
        // The policy must know the size of an endpoint that is down or leaving: a job that fits only there is not
        // impossible.
        if before == PublishedState::Unknown || wanted == PublishedState::Up {
            events.push(Event::EndpointUp((&self.listed).into()));
        }
        match wanted {
            PublishedState::Unknown | PublishedState::Up => {}
            PublishedState::Leaving => events.push(Event::EndpointLeaving(name)),
            PublishedState::Down => events.push(Event::EndpointDown(name)),
        }
        events
    }
}
