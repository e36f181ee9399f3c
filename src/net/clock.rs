//! Clocks of the machine.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time since the start of the machine, including the time for which it was suspended: a lease must not seem younger
/// because its holder was asleep.
#[derive(Debug, Clone, Copy, Default)]
pub struct SteadyClock {
    /// Start of a clock that follows the async runtime instead.
    runtime: Option<Instant>,
}

/// Reading of a clock of the runtime at its start, in milliseconds; leases that ended before it can be expressed.
const RUNTIME_START_MS: u64 = 1_000_000;

impl SteadyClock {
    /// A clock that follows the time of the async runtime, which tests can pause.
    pub fn of_runtime() -> Self {
        Self {
            runtime: Some(Instant::now()),
        }
    }

    /// Milliseconds since the start of the machine.
    pub fn now(self) -> u64 {
        if let Some(start) = self.runtime {
            return RUNTIME_START_MS + start.elapsed().as_millis() as u64;
        }
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
    }
}

/// Time of day in milliseconds since 1970; for due times only.
pub fn wall_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(time) => time.as_millis() as u64,
        Err(error) => {
            log::error!(error:% = error; "the time of day lies before 1970");
            0
        }
    }
}
