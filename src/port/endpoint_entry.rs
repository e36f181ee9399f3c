//! Entries that endpoints write about themselves.

use std::sync::Arc;

use super::Resources;

/// Largest difference between the wall clocks of two machines, in milliseconds.
const CLOCK_SKEW_MAX_MS: u64 = 10 * 60 * 1_000;

/// Entry of an endpoint in the store, as the endpoint wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Pool that the endpoint belongs to.
    pub pool: Arc<str>,
    /// Address, `host:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Start time of the endpoint, in milliseconds since 1970; identifies its incarnation.
    pub born: u64,
    /// The endpoint takes no new work and leaves soon.
    pub draining: bool,
    /// Least time until a draining endpoint leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Rest of the warm-up time, in which the endpoint is slow after its start, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Resources for tasks.
    pub capacity: Resources,
    /// Labels; the rack is among them.
    pub labels: Vec<Arc<str>>,
    /// Rack, if the labels name one.
    pub rack: Option<Arc<str>>,
}

impl EndpointEntry {
    /// Rejects the entry of an endpoint that would start far in the future of the wall clock.
    pub fn checked(self, wall_ms: u64) -> Result<Self, String> {
        if is_plausible_start(self.born, wall_ms) {
            Ok(self)
        } else {
            Err(format!("start time {} is not plausible", self.born))
        }
    }
}

/// Whether an endpoint may have started at `born` when the wall clock of this machine shows `wall_ms`. Under a known
/// name a later start counts as a restart, and everything that the true incarnation says from then on as outdated.
pub(super) fn is_plausible_start(born: u64, wall_ms: u64) -> bool {
    born > 0 && born <= wall_ms.saturating_add(CLOCK_SKEW_MAX_MS)
}
