//! Load and health of one endpoint, as seen by one instance.

use super::router::RELATIVE_SPEED_MAX;
use super::{Backend, CallResult};
use crate::time::Millis;

/// Pause after the first failure.
const BACKOFF_MIN: Millis = Millis(100);
/// Most doublings of the pause; the longest pause is 12.8 s.
const BACKOFF_DOUBLINGS_MAX: u32 = 7;
/// Time for which a report is used. Reports arrive about once a second, so an older one means that reports were lost.
const REPORT_AGE_MAX: Millis = Millis(5_000);
/// Weight of the newest duration in the moving average of an endpoint.
const ENDPOINT_MEAN_WEIGHT: f64 = 0.1;

/// Calls in flight that the endpoint reported, and how many of them were this instance's at that time.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    received_at: Millis,
    calls: u32,
    own_calls: u32,
}

/// An endpoint with this instance's calls in flight, the last report and the failures.
#[derive(Debug, Clone)]
pub struct EndpointState {
    pub backend: Backend,
    pub in_flight: u32,
    last_report: Option<LoadReport>,
    mean_ms: Option<f64>,
    consecutive_failures: u32,
    backoff_until: Millis,
}

impl EndpointState {
    pub fn new(backend: Backend) -> Self {
        Self {
            backend,
            in_flight: 0,
            last_report: None,
            mean_ms: None,
            consecutive_failures: 0,
            backoff_until: Millis::ZERO,
        }
    }

    fn recent_report(&self, now: Millis) -> Option<LoadReport> {
        self.last_report
            .filter(|report| now.since(report.received_at) <= REPORT_AGE_MAX)
    }

    /// Most calls that this instance may have in flight; one while the endpoint is failing.
    fn call_limit(&self, now: Millis, instances: u32) -> u32 {
        if self.consecutive_failures > 0 {
            return 1;
        }
        let slots = u32::from(self.backend.slots);
        let slots = match self.recent_report(now) {
            None => slots.div_ceil(instances),
            Some(report) => {
                let free = slots.saturating_sub(report.calls);
                (slots / instances).max(report.own_calls + free.div_ceil(instances))
            }
        };
        slots.min(self.connection_limit(instances))
    }

    /// Most connections that this instance may hold; at least one.
    pub fn connection_limit(&self, instances: u32) -> u32 {
        (u32::from(self.backend.connections) / instances).max(1)
    }

    /// Whether the endpoint may get one more call.
    pub fn has_room(&self, now: Millis, instances: u32) -> bool {
        self.backend.open && now >= self.backoff_until && self.in_flight < self.call_limit(now, instances)
    }

    /// Speed relative to a fleet with the given mean duration.
    pub fn relative_speed(&self, fleet_mean_ms: f64) -> f64 {
        match self.mean_ms {
            Some(mean) => (fleet_mean_ms / mean).clamp(1.0 / RELATIVE_SPEED_MAX, RELATIVE_SPEED_MAX),
            None => 1.0,
        }
    }

    /// Expected load after one more call, in calls at speed 1.
    pub fn load(&self, now: Millis, fleet_mean_ms: f64) -> f64 {
        let others = match self.recent_report(now) {
            Some(report) => report.calls.saturating_sub(report.own_calls),
            None => 0,
        };
        f64::from(self.in_flight + others + 1) / self.relative_speed(fleet_mean_ms)
    }

    /// Records the calls in flight that the endpoint reported.
    pub fn record_report(&mut self, now: Millis, calls: u32) {
        self.last_report = Some(LoadReport {
            received_at: now,
            calls,
            own_calls: self.in_flight.min(calls),
        });
    }

    /// Removes a call from those in flight and records its result.
    pub fn finish(&mut self, now: Millis, result: CallResult, duration: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            CallResult::Answered => {
                self.consecutive_failures = 0;
                let ms = (duration.0 as f64).max(1.0);
                let mean = self.mean_ms.get_or_insert(ms);
                *mean += (ms - *mean) * ENDPOINT_MEAN_WEIGHT;
            }
            CallResult::Busy => self.record_report(now, u32::from(self.backend.slots).max(self.in_flight)),
            CallResult::Failed | CallResult::Unreachable => {
                self.backoff_until =
                    now + Millis(BACKOFF_MIN.0 << self.consecutive_failures.min(BACKOFF_DOUBLINGS_MAX));
                self.consecutive_failures += 1;
            }
            CallResult::Abandoned => {}
        }
    }
}
