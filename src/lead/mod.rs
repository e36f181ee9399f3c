//! Leader election, and the work of the elected instance: scheduling for all endpoints.
//!
//! The leader periodically writes its heartbeat to [`LEAD`]. Each of its transactions on the leader's tables also
//! replaces the ledger row and expects the version that its previous transaction left there, so that writes of a former
//! leader, and writes that the store applies late, fail without effect. A new leader increments the fencing token in
//! the ledger row, loads the stored state, and sends its token to each endpoint before any other order. Endpoints
//! refuse orders with a lower token.

mod cleanup;
mod election;
mod ended_jobs;
mod feeds;
mod heartbeat;
mod hint;
mod leader;
mod ledger;
mod load;
mod monitor;
mod offer;
mod orders;
mod overload;
mod state;
mod stored_bounds;
mod tables;
mod transaction;
mod withdrawals;

pub use election::{Candidate, Timing, run};
pub use heartbeat::Heartbeat;
pub use hint::{Hint, HintQueues, Hints, serve_hints};
pub use ledger::LedgerEntry;
pub use monitor::{FollowerAction, LeaderMonitor, Observation};
pub use offer::Offer;
pub use overload::OverloadDetector;
pub use stored_bounds::{StoredBound, StoredBounds};
pub use tables::{
    BOUNDS, CANCEL_SUFFIX, INTAKE, JOB, LEAD, LEARNED, LEDGER, PENDING, PHASE, RECORD, WITHDRAWN, barring_keys,
    decode_phase, encode_phase, intake_partition, withdrawal_keys,
};
