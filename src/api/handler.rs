//! What stands behind the server.

use std::fmt;

use super::{ApiError, JobView, StatusView, TicketView};
use crate::name::JobId;
use crate::team::Catalog;
use crate::time::Millis;

/// Carries requests out. Bodies are handed over unparsed, so that a digest of them can tell a repeat from a conflict.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Submits a job; for a call, returns when it has ended.
    fn submit(&self, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, ApiError>;

    /// Looks a job up, waiting at most `wait` for its end.
    fn job(&self, id: &JobId, wait: Millis) -> Result<JobView, ApiError>;

    /// Cancels a job.
    fn cancel(&self, id: &JobId) -> Result<JobView, ApiError>;

    /// Takes a ticket; returns when it is in force everywhere.
    fn put_ticket(&self, number: u64, body: &[u8]) -> Result<TicketView, ApiError>;

    /// Looks a ticket up.
    fn ticket(&self, number: u64) -> Result<TicketView, ApiError>;

    /// The configuration in force.
    fn catalog(&self) -> Result<Catalog, ApiError>;

    /// What this instance knows.
    fn status(&self) -> StatusView;

    /// Whether new requests are welcome.
    fn is_ready(&self) -> bool;
}
