//! Stored form of the bounds of leases, for the next leader.

use prost::Message;

/// Bound of the leases on one endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredBound {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of the endpoint, which identifies its incarnation.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Time by which all leases have ended, on the clock of the store, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub ends_at: u64,
}

/// Bounds that a leader has stored.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredBounds {
    /// Fencing token of the leader. A leader in between that knows nothing of bounds may have granted leases since.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Bounds.
    #[prost(message, repeated, tag = "2")]
    pub bounds: Vec<StoredBound>,
    /// Set if the leader has released its lead: time by which all leases on other endpoints have ended, on the clock of the
    /// store, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub common_end: Option<u64>,
}
