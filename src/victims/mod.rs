//! Whose work is stopped for an urgent unit, and whether a slow endpoint is good enough for it instead.
//!
//! The pattern of load is urgent tasks that need much of an endpoint and arrive all the time, beside gangs and hundreds of
//! single tasks. A gang with checkpoints loses little work when it is stopped, but then waits for many endpoints at once, and
//! may be stopped again before it has done anything.

mod restart_waits;
mod stake;

pub use restart_waits::RestartWaits;
pub use stake::Stake;

/// Factor by which a task may take longer than expected; estimates are off by about that once a queue is known.
const ESTIMATE_ERROR: f64 = 1.5;

/// Least speed of an endpoint on which a task still ends in time: one that takes `expected_ms` at `typical_speed` and has
/// `left_ms` from now. Infinite if there is no time left.
pub fn least_speed(expected_ms: f64, typical_speed: f64, left_ms: u64) -> f64 {
    if left_ms == 0 {
        return f64::INFINITY;
    }
    typical_speed * expected_ms * ESTIMATE_ERROR / left_ms as f64
}
