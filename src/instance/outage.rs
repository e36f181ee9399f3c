//! Detection of a table outage that all instances share.
//!
//! An instance without a live session cannot tell whether the table is down for all instances or for itself alone. If
//! every last known member reports the same ticket and no live session either, no instance can have accepted a ticket
//! or claimed a pool in the meantime. A peer's report is used for a short time only.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::name::InstanceName;
use crate::time::Millis;

/// Time for which a peer's status is used. A message may take 4 s to arrive, so a status in use is at most 7 s old:
/// less than the 8 s in which a ticket must be in force, and than the 11 s for which a new planner expects renewals by
/// the previous holder.
const PEER_STATUS_AGE_MAX: Millis = Millis::from_secs(3);
/// Longest outage in which idempotent calls use cached state.
const CACHE_USE_MAX: Millis = Millis::from_secs(15 * 60);

#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    received_at: Millis,
    ticket: u64,
    live: bool,
}

/// Last status of each peer, and whether it proves a shared outage.
#[derive(Debug, Default)]
pub struct OutageDetector(Mutex<BTreeMap<InstanceName, PeerStatus>>);

impl OutageDetector {
    /// Records a peer's ticket and whether its session is live.
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

    /// Whether each of these members but `me` recently reported this ticket and no live session.
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

    /// Whether an outage that began at `since` is short enough to use cached state.
    pub fn allows_cache(now: Millis, since: Millis) -> bool {
        now.since(since) <= CACHE_USE_MAX
    }
}
