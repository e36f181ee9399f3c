//! State of a dry run for one job.

use std::sync::Arc;

use super::pool_view::PoolView;
use super::rank::Rank;
use super::record_room::RecordRoom;
use super::round_cache::RoundCache;

/// What a dry run books instead of giving orders.
#[derive(Debug)]
pub(super) struct DryRun {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Endpoints of the pool.
    pub views: PoolView,
    /// What the jobs that are served before have reserved, and the victims that may be stopped.
    pub cache: RoundCache,
    /// Room that is left in the record of the job.
    pub record_room: Option<RecordRoom>,
    /// Rank of the job.
    pub rank: Rank,
    /// Time, in milliseconds.
    pub now: u64,
}
