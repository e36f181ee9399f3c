//! Where a task was sent.

use prost::Message;

/// Endpoint that a task was sent to.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Place {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of that life of the endpoint, in milliseconds since 1970; tells its lives apart.
    #[prost(uint64, tag = "2")]
    pub born: u64,
}
