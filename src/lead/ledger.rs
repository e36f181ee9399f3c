//! Content of the ledger row.

use prost::Message;

/// Content of the ledger row.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LedgerEntry {
    /// Fencing token of the leader that wrote it.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Name of that instance.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Start time of its process, in milliseconds; tells its lives apart.
    #[prost(uint64, tag = "3")]
    pub process_start_ms: u64,
}
