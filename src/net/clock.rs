//! Boot-time clock and wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time since the machine was booted, including the time for which it was suspended: a lease must not last longer
/// because its holder was suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct SteadyClock {
    /// Start of the clock if it follows the async runtime instead of the machine.
    runtime: Option<Instant>,
}

/// Initial value of a clock that follows the runtime, in milliseconds. It is above 0, so that tests can express leases
/// that ended before the start.
const RUNTIME_START_MS: u64 = 1_000_000;

impl SteadyClock {
    /// A clock that follows the async runtime, whose time tests can pause.
    pub fn of_runtime() -> Self {
        Self {
            runtime: Some(Instant::now()),
        }
    }

    /// Milliseconds since the machine was booted.
    pub fn now(self) -> u64 {
        if let Some(start) = self.runtime {
            return RUNTIME_START_MS + start.elapsed().as_millis() as u64;
        }
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
    }
}

/// Wall clock in milliseconds since 1970; for due times only.
pub fn wall_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(time) => time.as_millis() as u64,
        Err(error) => {
            log::error!(error:% = error; "the wall clock is before 1970");
            0
        }
    }
}
