//! Takes batch jobs, cancels jobs, looks them up.
//!
//! A job is accepted only once its row and its mark in the queue are written, in one transaction that also checks that
//! the configuration it was checked against is still the newest. Digests of the bodies tell a repeat from a conflict.
//! Requests that arrive while a write is under way share the next transaction.

mod check;
mod choose;
mod error;
mod group_commit;
mod state;
mod view;

pub use check::{BODY_BYTES_MAX, check_spec, parse_spec};
pub use choose::{can_hold, choose_pool, pool_contains};
pub use error::AcceptError;
pub use state::BatchJobs;
pub use view::{StoredJob, read_job, view_job};
