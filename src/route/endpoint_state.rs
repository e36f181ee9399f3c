//! One instance's view of one endpoint.

use super::router::SPEED_MAX;
use super::{Backend, CallResult};
use crate::time::Millis;

/// First pause after a failure.
const PAUSE_MIN: Millis = Millis(100);
/// Doublings of the pause; the longest is 12.8 s.
const DOUBLINGS_MAX: u32 = 7;
/// Time for which a reported count is used. Reports come about once a second, so an older one means a lost report.
const REPORT_TTL: Millis = Millis(5_000);
/// Weight of the newest duration in the running mean.
const SMOOTHING: f64 = 0.1;

/// The calls that the endpoint reported, and how many of them were our own at that time.
#[derive(Debug, Clone, Copy)]
struct Reported {
    at: Millis,
    calls: u32,
    own: u32,
}

/// An endpoint with the calls that this instance has there.
#[derive(Debug, Clone)]
pub struct Lane {
    pub backend: Backend,
    pub calls: u32,
    reported: Option<Reported>,
    mean_ms: Option<f64>,
    failures: u32,
    paused_until: Millis,
}

impl Lane {
    pub fn new(backend: Backend) -> Self {
        Self {
            backend,
            calls: 0,
            reported: None,
            mean_ms: None,
            failures: 0,
            paused_until: Millis::ZERO,
        }
    }

    fn fresh(&self, now: Millis) -> Option<Reported> {
        self.reported.filter(|reported| now.since(reported.at) <= REPORT_TTL)
    }

    /// Calls that this instance may have there at once.
    fn limit(&self, now: Millis, instances: u32) -> u32 {
        if self.failures > 0 {
            return 1;
        }
        let slots = u32::from(self.backend.slots);
        let slots = match self.fresh(now) {
            None => slots.div_ceil(instances),
            Some(reported) => {
                let free = slots.saturating_sub(reported.calls);
                (slots / instances).max(reported.own + free.div_ceil(instances))
            }
        };
        slots.min(self.connections(instances))
    }

    /// Connections that this instance may hold there; at least one.
    pub fn connections(&self, instances: u32) -> u32 {
        (u32::from(self.backend.connections) / instances).max(1)
    }

    /// Whether one more call may go there.
    pub fn has_room(&self, now: Millis, instances: u32) -> bool {
        self.backend.open && now >= self.paused_until && self.calls < self.limit(now, instances)
    }

    /// Speed relative to the fleet, whose mean duration is given.
    pub fn speed(&self, fleet_ms: f64) -> f64 {
        match self.mean_ms {
            Some(mean) => (fleet_ms / mean).clamp(1.0 / SPEED_MAX, SPEED_MAX),
            None => 1.0,
        }
    }

    /// Expected load after one more call, in calls at speed 1.
    pub fn load(&self, now: Millis, fleet_ms: f64) -> f64 {
        let others = match self.fresh(now) {
            Some(reported) => reported.calls.saturating_sub(reported.own),
            None => 0,
        };
        f64::from(self.calls + others + 1) / self.speed(fleet_ms)
    }

    pub fn report(&mut self, now: Millis, calls: u32) {
        self.reported = Some(Reported {
            at: now,
            calls,
            own: self.calls.min(calls),
        });
    }

    pub fn finish(&mut self, now: Millis, result: CallResult, duration: Millis) {
        self.calls = self.calls.saturating_sub(1);
        match result {
            CallResult::Answered => {
                self.failures = 0;
                let ms = (duration.0 as f64).max(1.0);
                let mean = self.mean_ms.get_or_insert(ms);
                *mean += (ms - *mean) * SMOOTHING;
            }
            CallResult::Busy => self.report(now, u32::from(self.backend.slots).max(self.calls)),
            CallResult::Failed | CallResult::Unreachable => {
                self.paused_until = now + Millis(PAUSE_MIN.0 << self.failures.min(DOUBLINGS_MAX));
                self.failures += 1;
            }
            CallResult::Abandoned => {}
        }
    }
}
