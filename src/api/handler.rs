//! Interface between the server and the scheduler.

use std::fmt;

use super::{ApiError, JobView, StatusView, TicketView};
use crate::name::JobId;
use crate::team::Catalog;
use crate::time::Millis;

/// Executes requests. Bodies are passed unparsed, so that their digest distinguishes a repeated request from a
/// conflicting one.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Submits a job; for a call, returns when it has ended.
    fn submit(&self, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, ApiError>;

    /// Looks up a job and waits at most `wait` for its end.
    fn job(&self, id: &JobId, wait: Millis) -> Result<JobView, ApiError>;

    /// Cancels a job.
    fn cancel(&self, id: &JobId) -> Result<JobView, ApiError>;

    /// Applies a ticket; returns when it is in force on all instances.
    fn put_ticket(&self, number: u64, body: &[u8]) -> Result<TicketView, ApiError>;

    /// Looks up a ticket.
    fn ticket(&self, number: u64) -> Result<TicketView, ApiError>;

    /// The configuration in force.
    fn catalog(&self) -> Result<Catalog, ApiError>;

    /// Status of this instance.
    fn status(&self) -> StatusView;

    /// Whether this instance accepts new requests.
    fn is_ready(&self) -> bool;
}
