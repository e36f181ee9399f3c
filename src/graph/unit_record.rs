//! Stored state of a unit.

use prost::Message;

use super::Place;

/// State of a unit as it is stored; a unit without a record has never been started.
#[derive(Clone, PartialEq, Message)]
pub struct UnitRecord {
    /// Position of the unit among all units of the job.
    #[prost(uint32, tag = "1")]
    pub position: u32,
    /// The unit has succeeded.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// Number of the last run that may have been sent to endpoints.
    #[prost(uint32, tag = "3")]
    pub run: u32,
    /// Number of failed runs.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
    /// Newest known checkpoint; empty for none.
    #[prost(string, tag = "5")]
    pub checkpoint: String,
    /// Endpoints that may still run members of the last run, by index of the task within the unit.
    #[prost(btree_map = "uint32, message", tag = "6")]
    pub places: std::collections::BTreeMap<u32, Place>,
    /// The last run is one of those that failed.
    #[prost(bool, tag = "7")]
    pub last_run_failed: bool,
}
