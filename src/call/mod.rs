//! Carries one call to an endpoint, collects the parts of its answer, and resolves doubt about whether it ran.
//!
//! A [`Call`] is driven by [`CallController::step`], which makes at most one request to an endpoint; the caller's thread repeats
//! it with the time of its clock until it is done.
//!
//! An idempotent call writes nothing. Of any other call, the attempt is in its row before the first byte is sent, and no
//! other attempt is made without proof that this one was not started. The proof is an error that rules a start out, or
//! the endpoint's refusal, if the endpoint has not restarted since. A caller is told that a call was not run only once
//! that is written; an answer that arrived whole is delivered even if its row cannot be written before the deadline,
//! since the endpoint keeps it and [`CallController::recover`] writes it later.

mod assembly;
mod controller;
mod error;
mod guard;
mod idempotent;
mod non_idempotent;
mod probe;
mod recover;
mod rows;
mod stage;

pub use assembly::Assembly;
pub use controller::CallController;
pub use error::CallError;
pub use stage::{Call, Progress};

use crate::time::Millis;

/// Time that a call has if it declares no deadline.
pub const CALL_DEADLINE_DEFAULT: Millis = Millis::from_secs(30);
/// Longest time that a call may have; what runs longer should be a batch job.
pub const CALL_DEADLINE_MAX: Millis = Millis::from_secs(3600);
/// Endpoints that one call is sent to at most.
pub const ENDPOINT_TRIES_MAX: u32 = 3;
/// Pause before an endpoint or a row is asked again.
pub const POLL_INTERVAL: Millis = Millis(100);
