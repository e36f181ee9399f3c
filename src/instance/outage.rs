//! What the peers say about the table.
//!
//! An instance without a live session cannot tell whether the table is down for all or for itself alone. If every
//! member that it last knew says that it has the same ticket and no live session either, then nobody can have taken a
//! ticket or a pool in the meantime. What a peer said is used for a short time only.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::name::InstanceName;
use crate::time::Millis;

/// Time for which what a peer said is used. A message may be 4 s under way, so what is used is received_at most 7 s old: less than
/// the 8 s in which a ticket must be in force, and than the 11 s for which a new planner expects foreign renewals.
const PEER_STATUS_AGE_MAX: Millis = Millis::from_secs(3);
/// Longest outage in which idempotent calls go on from cached state.
const CACHE_USE_MAX: Millis = Millis::from_secs(15 * 60);

#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    received_at: Millis,
    ticket: u64,
    live: bool,
}

/// Last status of each peer.
#[derive(Debug, Default)]
pub struct OutageDetector(Mutex<BTreeMap<InstanceName, PeerStatus>>);

impl OutageDetector {
    /// Notes what a peer says of its ticket and its session.
    pub fn record(&self, now: Millis, peer: InstanceName, ticket: u64, live: bool) {
        let status = PeerStatus {
            received_at: now,
            ticket,
            live,
        };
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(peer, status);
    }

    /// Whether every one of these members but `me` said of late that it has this ticket and no live session.
    pub fn is_shared<'a, I>(&self, now: Millis, me: &InstanceName, ticket: u64, members: I) -> bool
    where
        I: IntoIterator<Item = &'a InstanceName>,
    {
        let statuses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for member in members {
            if member == me {
                continue;
            }
            let Some(status) = statuses.get(member) else {
                return false;
            };
            if status.live || status.ticket != ticket || now.since(status.received_at) > PEER_STATUS_AGE_MAX {
                return false;
            }
        }
        true
    }

    /// Whether an outage that began received_at `since` is short enough for cached state.
    pub fn allows_cache(now: Millis, since: Millis) -> bool {
        now.since(since) <= CACHE_USE_MAX
    }
}
