//! Instances and endpoints, as known from the platform's list and the session rows.
//!
//! A session has lapsed for an observer when its row has kept the same version for the lease and the margin for clock
//! drift, measured by the observer's own clock. A version counts as seen only from the step after the one that read it:
//! a read may be slow, so the row may have been written after the time that was passed to the reading step.

mod endpoint;
mod error;
mod rendezvous;
mod state;

pub use endpoint::KnownEndpoint;
pub use error::MembershipError;
pub use rendezvous::owner_of;
pub use state::Membership;

use crate::time::Millis;

/// Interval between reads of the session rows.
pub const SESSION_SCAN_INTERVAL: Millis = Millis(200);
/// Interval between reads of the list; a leaving endpoint must be known within 2 s.
pub const LIST_INTERVAL: Millis = Millis(500);
/// Time for which an endpoint that is missing from the list is kept. The list lags and may be wrong. The task leases of
/// a dead endpoint, with their margin, end sooner.
pub const UNLISTED_GRACE: Millis = Millis::from_secs(60);
/// Time after which the row of a session that is no longer renewed is removed.
pub const STALE_SESSION_RETENTION: Millis = Millis::from_secs(600);
