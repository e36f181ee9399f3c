//! Calls to the advice service that have no answer yet.
//!
//! The service handles the calls of an instance in turn and goes on with those that the instance has given up. Giving up a
//! call therefore wastes its answer and holds up the next one. A call that takes long is only set aside as late: others
//! may be sent beside it, and its answer is used whenever it comes. Nobody knows whether the answer to a late call was
//! lost or the service is slow, so the next calls get at least the time that the oldest late one has been waited for: the
//! number of calls grows with the logarithm of an outage, and the time lost at its end is at most its length. An answer to
//! a later call shows that the answers to those before it are lost or about to arrive.

use std::collections::BTreeMap;

use crate::port::{OrderError, Refusal};

/// Most calls that are not late: one that the service handles, and one that waits, so that the service is not idle until
/// the next one arrives. With more of them, the most urgent step would wait for calls sent before it was known.
pub(super) const ON_TIME_MAX: usize = 2;

/// Ratio of the time after which a call counts as late to the time that the service needs for it and those before it.
const LATE_RATIO: u64 = 2;

/// Allowance for the way of a call and its answer, in milliseconds; covers a slow link or a busy leader.
const TRANSIT_MS: u64 = 1_000;

/// Most calls that wait at the service, by the platform; it rejects further ones.
const WAITING_MAX: u64 = 32;

/// Least time after which the answer to a call counts as lost, in milliseconds. Each late call holds a connection until then;
/// a service that is slower than this cannot be told from one that is gone.
const LOST_MIN_MS: u64 = 60_000;

/// Pause after a call that the service did not handle, in milliseconds.
const SERVICE_PAUSE_MS: u64 = 500;

/// A call without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AdviceCall {
    /// Number of the call.
    pub number: u64,
    /// Time that the service needs for it, in milliseconds.
    cost_ms: u64,
    /// When it was sent, in milliseconds.
    sent_at: u64,
    /// Time by which a service that works at its rate has answered, in milliseconds.
    expected_by: u64,
    /// Time from which others may be sent in its place, in milliseconds.
    late_at: u64,
    /// Time at which its answer counts as lost, in milliseconds.
    pub lost_at: u64,
}

/// All calls without an answer.
#[derive(Debug, Default)]
pub(super) struct AdviceCalls {
    calls: BTreeMap<u64, AdviceCall>,
    last_number: u64,
    /// When the service is tried again after it did not handle the last call, in milliseconds.
    retry_at: Option<u64>,
}

impl AdviceCalls {
    /// Whether another call may be sent. A service that did not handle the last one is tried with one call at a time.
    pub fn may_send(&self, now: u64) -> bool {
        match self.retry_at {
            Some(at) => now >= at && !self.is_busy(now),
            None => self.on_time(now).count() < ON_TIME_MAX,
        }
    }

    /// Whether an answer is expected that is not late.
    pub fn is_busy(&self, now: u64) -> bool {
        self.on_time(now).next().is_some()
    }

    /// Notes that a call is sent for which the service needs `cost_ms`.
    pub fn send(&mut self, cost_ms: u64, now: u64) -> AdviceCall {
        self.calls.retain(|_, call| now < call.lost_at);
        let mut late = self.calls.values().filter(|call| call.late_at <= now);
        let waited_ms = late.next().map_or(0, |call| now.saturating_sub(call.sent_at));
        let before_ms = self.on_time(now).map(|call| call.cost_ms).fold(0, u64::saturating_add);
        let needed_ms = before_ms.saturating_add(cost_ms);
        let late_ms = needed_ms
            .saturating_mul(LATE_RATIO)
            .saturating_add(TRANSIT_MS)
            .max(waited_ms);
        let longest_ms = self.calls.values().map(|call| call.cost_ms).fold(cost_ms, u64::max);
        let lost_ms = longest_ms.saturating_mul(WAITING_MAX + 1).max(LOST_MIN_MS);
        self.last_number += 1;
        let call = AdviceCall {
            number: self.last_number,
            cost_ms,
            sent_at: now,
            expected_by: now.saturating_add(needed_ms).saturating_add(TRANSIT_MS),
            late_at: now.saturating_add(late_ms),
            lost_at: now.saturating_add(lost_ms),
        };
        self.calls.insert(call.number, call);
        call
    }

    /// Whether the answer to a call is expected and not late yet.
    pub fn is_on_time(&self, number: u64, now: u64) -> bool {
        self.calls.get(&number).is_some_and(|call| now < call.late_at)
    }

    /// Whether a service that works at its rate still needs time for a call.
    pub fn is_expected(&self, number: u64, now: u64) -> bool {
        self.calls.get(&number).is_some_and(|call| now < call.expected_by)
    }

    /// Notes that a call has an answer.
    pub fn answered(&mut self, number: u64, now: u64) {
        self.calls.remove(&number);
        self.retry_at = None;
        for call in self.calls.range_mut(..number).map(|(_, call)| call) {
            call.late_at = call.late_at.min(now + TRANSIT_MS);
            call.lost_at = call.lost_at.min(now + TRANSIT_MS);
        }
    }

    /// Notes that a call has failed, and sends none for a while if the service may be the reason. A late call says nothing
    /// about the service now.
    pub fn failed(&mut self, number: u64, error: &OrderError, now: u64) {
        let on_time = self.is_on_time(number, now);
        self.calls.remove(&number);
        let declined = matches!(
            error,
            OrderError::Refused { refusal, .. } if *refusal != Refusal::Unwell
        );
        if on_time && !declined {
            self.retry_at = Some(now + SERVICE_PAUSE_MS);
        }
    }

    fn on_time(&self, now: u64) -> impl Iterator<Item = &AdviceCall> {
        self.calls.values().filter(move |call| now < call.late_at)
    }
}
