//! Sends calls to endpoints, assembles their answers, and finds out whether a call ran if its answer was lost.
//!
//! [`CallController::step`] advances a [`Call`] by one stage and sends it at most once. The caller's thread repeats the
//! step with the current time until the call is done.
//!
//! An idempotent call writes nothing. An attempt of a non-idempotent call is written to the call's row before the first
//! byte is sent, and no other attempt is made without proof that this one was not started. The proof is an error that
//! rules out a start, or the endpoint's refusal, if the endpoint has not restarted since. The caller is told that a
//! call was not run only after that is written. A complete answer is returned even if it cannot be written before the
//! deadline, because the endpoint keeps it and [`CallController::recover`] writes it later.

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

/// Time allowed for a call that declares no deadline.
pub const CALL_DEADLINE_DEFAULT: Millis = Millis::from_secs(30);
/// Longest time allowed for a call; longer work should be a batch job.
pub const CALL_DEADLINE_MAX: Millis = Millis::from_secs(3600);
/// Most tries to send one call to an endpoint.
pub const ENDPOINT_TRIES_MAX: u32 = 3;
/// Pause before an endpoint is probed or a row is read or written again.
pub const POLL_INTERVAL: Millis = Millis(100);
