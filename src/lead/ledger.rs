//! Value of the ledger row.

use prost::Message;

/// Value of the ledger row.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LedgerEntry {
    /// Fencing token of the leader that wrote it.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Name of that leader.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Start time of its process, in milliseconds; distinguishes it from earlier processes of the same instance.
    #[prost(uint64, tag = "3")]
    pub process_start_ms: u64,
}
