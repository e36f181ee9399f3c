//! Incarnations of an endpoint, and the fencing token that separates the orders for them.
//!
//! An endpoint that restarts under its name holds and knows nothing of before, and has seen no fencing token. An order
//! for its earlier incarnation that is carried out late therefore takes effect on the present one: a start begins a run
//! there, and a hold makes it forget ends. So the leader raises its token with each restart, stores it, and gives up no
//! run and places none on the endpoint until the present incarnation has answered an order with the raised token. From
//! then on it refuses all earlier orders, and what it does not list does not exist.

use std::sync::Arc;

use super::endpoint::PlacedRun;
use super::{Dispatcher, Endpoint, LeaseSource, MemberState};
use crate::port::EndpointEntry;

/// Assumed bound of the time after which an order without an answer may be carried out, in milliseconds.
pub(super) const LATE_ORDER_MAX_MS: u64 = 12_000;

impl Dispatcher {
    /// Replaces an endpoint by a newer incarnation of the same name.
    ///
    /// Its runs are lost, but the starts of some may still be on their way and reach the new incarnation. So they are
    /// given up only once it has answered an order with a fencing token that makes it refuse the earlier ones.
    pub(super) fn replace_incarnation(&mut self, name: &Arc<str>, entry: EndpointEntry, now: u64) {
        let leases_end_at = now + LATE_ORDER_MAX_MS + self.longest_lease_ms();
        let born = entry.born;
        let Some(old) = self.endpoints.remove(name) else {
            return;
        };
        log::info!(endpoint:% = name, from = old.entry.born, to = born, runs = old.runs.len(); "endpoint restarted");
        let fence = if old.contacted { None } else { old.fence };
        let mut fresh = Endpoint::new(entry, leases_end_at, fence);
        fresh.lease_source = LeaseSource::Restart;
        fresh.fenced_at = now;
        fresh.listed = old.listed;
        fresh.used = old.used;
        fresh.kinds = old.kinds;
        fresh.runs = old.runs;
        let runs = fresh.runs.clone();
        self.endpoints.insert(Arc::clone(name), fresh);
        self.list_revision += 1;
        self.changed = true;
        for placed_run in runs.into_values() {
            self.move_to_incarnation(&placed_run, born, now);
        }
    }

    /// Leaves it to the first report of a new incarnation whether a run exists there.
    fn move_to_incarnation(&mut self, placed_run: &PlacedRun, born: u64, now: u64) {
        let Some(job) = self.jobs.get_mut(&placed_run.job) else {
            return;
        };
        let Some(member) = job.units[placed_run.unit].members.get_mut(placed_run.member) else {
            return;
        };
        member.born = born;
        self.dirty.insert(Arc::clone(&placed_run.job));
        match &mut member.state {
            MemberState::Planned => {
                let (unit, index) = (placed_run.unit, placed_run.member);
                self.member_gone(&placed_run.job, unit, index, "endpoint started again", now);
            }
            MemberState::Stopping {
                acked_at, resend_at, ..
            } => {
                *acked_at = None;
                *resend_at = now + self.tuning.resend_ms;
            }
            MemberState::Sent { .. } | MemberState::Running | MemberState::Recovered => {
                member.state = MemberState::Recovered;
                member.percent = 0.0;
                member.progressed_at = now;
                member.measured_from = None;
            }
            MemberState::Gone => {}
        }
    }

    /// Fencing token as last stored.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Notes at `now` that a higher fencing token is stored, and assigns it to the endpoints that wait for one.
    pub fn raise_fence(&mut self, fence: u64, now: u64) {
        if fence <= self.fence {
            return;
        }
        self.fence = fence;
        for endpoint in self.endpoints.values_mut() {
            if endpoint.fence.is_none() {
                endpoint.fence = Some(fence);
                endpoint.fenced_at = now;
            }
        }
    }

    /// Whether the present incarnation of an endpoint has reported to this leader.
    pub fn has_reported(&self, name: &str) -> bool {
        self.endpoints.get(name).is_some_and(|endpoint| endpoint.reported)
    }

    /// Fencing token of orders to an endpoint; `None` if no order may be sent to it yet.
    pub fn fence_of(&self, name: &str) -> Option<u64> {
        self.endpoints.get(name)?.fence
    }
}
