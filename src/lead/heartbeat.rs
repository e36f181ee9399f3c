//! Sign of life of the leader.

use prost::Message;

/// Sign of life of the leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
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
    /// Its processor share, in thousandths of a core.
    #[prost(uint32, tag = "5")]
    pub millicores: u32,
    /// Instance that is to take the lead next; empty for any.
    #[prost(string, tag = "6")]
    pub successor: String,
    /// Where it receives hints, `host:port`.
    #[prost(string, tag = "8")]
    pub hints: String,
    /// It is short of processor.
    #[prost(bool, tag = "7")]
    pub strained: bool,
}
