//! Sign of life of the leader.

use prost::Message;

/// Sign of life of the leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Beat {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Its fencing token.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Rises with each renewal.
    #[prost(uint64, tag = "3")]
    pub count: u64,
    /// It has given the lead up.
    #[prost(bool, tag = "4")]
    pub released: bool,
}
