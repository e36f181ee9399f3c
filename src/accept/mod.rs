//! Accepts batch jobs, cancels jobs and looks them up.
//!
//! A job is accepted once its row and its queue entry are written, in one transaction that also checks that the
//! configuration it was validated against is still the newest. A digest of the body distinguishes a repeated request
//! from a conflicting one. Requests that arrive while a transaction is in progress share the next one.

mod check;
mod choose;
mod error;
mod group_commit;
mod state;
mod view;

pub use check::{BODY_BYTES_MAX, check_spec, parse_spec};
pub use choose::{can_hold, choose_pool, pool_contains};
pub use error::AcceptError;
pub use state::BatchJobController;
pub use view::{StoredJob, read_job, view_job};
