//! Heartbeat of the leader.

use prost::Message;

/// Heartbeat of the leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Name of the leader.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Fencing token of the leader.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Number of the heartbeat; increases with each.
    #[prost(uint64, tag = "3")]
    pub count: u64,
    /// Whether the leader has released leadership.
    #[prost(bool, tag = "4")]
    pub released: bool,
    /// Processor share of the leader, in thousandths of a core.
    #[prost(uint32, tag = "5")]
    pub millicores: u32,
    /// Name of the instance to lead next, once released; empty for any.
    #[prost(string, tag = "6")]
    pub successor: String,
    /// Address at which the leader receives hints, `host:port`.
    #[prost(string, tag = "8")]
    pub hint_address: String,
    /// Whether the leader is short of processor time.
    #[prost(bool, tag = "7")]
    pub overloaded: bool,
}
