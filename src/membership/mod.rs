//! What the platform's list and the session rows say about instances and endpoints.
//!
//! A session has lapsed for an observer when its row kept one version for the lease and the margin, counted by the
//! observer's own clock. A version counts as seen from the step after the one that read it: a read may be slow, and the
//! row may have been written after the time that the reading step was given.

mod endpoint;
mod error;
mod rendezvous;
mod state;

pub use endpoint::KnownEndpoint;
pub use error::MembershipError;
pub use rendezvous::owner_of;
pub use state::Membership;

use crate::time::Millis;

/// Time between two reads of the session rows.
pub const SESSION_SCAN_INTERVAL: Millis = Millis(200);
/// Time between two reads of the list; a leaving endpoint must be known within 2 s.
pub const LIST_INTERVAL: Millis = Millis(500);
/// Time for which an endpoint is kept that is missing from the list. The list lags and may be wrong, and the task
/// leases of a dead endpoint with their margin end before.
pub const UNLISTED_GRACE: Millis = Millis::from_secs(60);
/// Time after which the row of a silent session is removed.
pub const STALE_SESSION_RETENTION: Millis = Millis::from_secs(600);
