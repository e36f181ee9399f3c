//! This instance's lease in the table, during which it may use the configuration.
//!
//! The lease starts at the time just before the renewal was sent. A renewal also checks the version of `ticket/head`,
//! so an instance can renew only with the newest configuration. A newly loaded catalog is used as soon as it is loaded,
//! before the renewal that writes its number to the session row: if the renewal's answer is late, the table already
//! says that this instance uses the new catalog, and no thread may still decide with the old one.

mod error;
mod load;
mod run_guard;
mod state;

pub use error::SessionError;
pub use load::{VersionedCatalog, load_catalog};
pub(crate) use run_guard::RunGuard;
pub use state::Session;

use crate::time::Millis;

/// Duration of the lease after a renewal.
pub const LEASE_DURATION: Millis = Millis::from_secs(3);
/// Interval between renewals.
pub const RENEW_INTERVAL: Millis = Millis::from_secs(1);
/// Delay before a failed renewal is retried; several attempts fit in one lease.
pub const RETRY_DELAY: Millis = Millis(250);
/// Margin that an observer adds to the lease for the drift between its clock and the holder's.
pub const CLOCK_DRIFT_MARGIN: Millis = Millis(500);
