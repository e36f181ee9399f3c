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
    /// When the transaction that wrote it was sent, on the clock of the store, in milliseconds, rather late than early. No
    /// leader up to that one has had its lead confirmed by a later transaction. None if that clock was not known.
    #[prost(uint64, optional, tag = "4")]
    pub sent_at: Option<u64>,
}
