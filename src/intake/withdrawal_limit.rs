//! Limit on cancellations of unknown jobs.
//!
//! Each leaves a row in the store for some time, so a caller with made-up ids must not be able to write any number.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Most cancellations of one team in quick succession.
const BURST_MAX: u32 = 50;

/// Time after which one more is allowed.
const REFILL_TIME: Duration = Duration::from_secs(1);

/// Cancellations of unknown jobs that each team has left at this instance.
#[derive(Debug, Default)]
pub(super) struct WithdrawalLimit {
    /// When the next refill of each team counts from, and what it has used since its burst was full.
    used: BTreeMap<Arc<str>, (Instant, u32)>,
}

impl WithdrawalLimit {
    /// Takes one cancellation of a team; `false` if it has none left.
    pub fn take(&mut self, team: &Arc<str>, now: Instant) -> bool {
        let (since, used) = self.used.entry(Arc::clone(team)).or_insert((now, 0));
        let refilled = now.duration_since(*since).as_secs() / REFILL_TIME.as_secs();
        *since += REFILL_TIME * u32::try_from(refilled).unwrap_or(u32::MAX);
        *used = used.saturating_sub(u32::try_from(refilled).unwrap_or(u32::MAX));
        if *used >= BURST_MAX {
            return false;
        }
        *used += 1;
        true
    }
}
