//! Endpoints that tasks were sent to.

use prost::Message;

/// Endpoint that a task was sent to.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Place {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of the endpoint, in milliseconds since 1970; identifies its incarnation.
    #[prost(uint64, tag = "2")]
    pub born: u64,
}
