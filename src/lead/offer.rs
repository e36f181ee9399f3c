//! Offer of a follower to replace the leader.

use prost::Message;

/// Offer of a follower to replace a smaller leader.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Offer {
    /// Name of the follower.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Fencing token of the leader to replace.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Processor share of the follower, in thousandths of a core.
    #[prost(uint32, tag = "3")]
    pub millicores: u32,
}
