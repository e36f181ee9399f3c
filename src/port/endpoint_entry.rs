//! Entries that endpoints write about themselves.

use std::sync::Arc;

use super::Resources;

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
