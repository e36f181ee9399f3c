//! This instance's lease in the table and, with it, its right to use the configuration.
//!
//! The lease counts from the moment before a renewal was sent. A renewal also checks the version of `ticket/head`, so
//! an instance can renew only with the newest configuration. A newly loaded catalog is used from the moment it is
//! loaded, before the renewal that announces it: if the renewal's answer is late, no thread may still decide with the
//! old catalog while the table already says that the new one is in force here.

mod error;
mod load;
mod run_guard;
mod state;

pub use error::SessionError;
pub use load::{VersionedCatalog, load_catalog};
pub(crate) use run_guard::RunGuard;
pub use state::Session;

use crate::time::Millis;

/// Time for which one renewal holds.
pub const LEASE_DURATION: Millis = Millis::from_secs(3);
/// Time between two renewals.
pub const RENEW_INTERVAL: Millis = Millis::from_secs(1);
/// Time until a failed renewal is repeated; several tries fit in one lease.
pub const RETRY_DELAY: Millis = Millis(250);
/// What an observer adds to the lease for the drift between two clocks.
pub const CLOCK_DRIFT_MARGIN: Millis = Millis(500);
