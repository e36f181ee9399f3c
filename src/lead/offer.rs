//! Offer of an instance to lead.

use prost::Message;

/// Offer of a follower to lead instead of a smaller instance.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Offer {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Fencing token of the leader that is to give way.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Its processor share, in thousandths of a core.
    #[prost(uint32, tag = "3")]
    pub millicores: u32,
}
