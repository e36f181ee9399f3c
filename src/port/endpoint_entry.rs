//! What an endpoint says of itself.

use std::sync::Arc;

use super::Resources;

/// Entry of an endpoint in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Address, `host:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Start time of this life, in milliseconds since 1970; tells its lives apart.
    pub born: u64,
    /// It takes no new work and leaves soon.
    pub draining: bool,
    /// Least time that is left to a draining endpoint, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// How much longer it is slow after its start, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Room for tasks.
    pub capacity: Resources,
    /// Labels; the rack is among them.
    pub labels: Vec<Arc<str>>,
    /// Rack, if the labels name one.
    pub rack: Option<Arc<str>>,
}
