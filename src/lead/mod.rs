//! One instance leads: it decides for all endpoints and tends them.
//!
//! The leader is named by a row that it renews. Every transaction of a leader replaces the ledger row and expects the
//! version that its last one left there, so that a former leader, or a write that the store carries out late, changes
//! nothing. A new leader raises the fencing token in the same row, reads what is stored, and shows its token to each
//! endpoint before it orders anything there. Endpoints refuse lower tokens.

mod cleanup;
mod election;
mod ended_jobs;
mod feeds;
mod heartbeat;
mod hint;
mod leader;
mod ledger;
mod monitor;
mod offer;
mod orders;
mod overload;
mod state;
mod tables;
mod transaction;

pub use election::{Candidate, Timing, run};
pub use heartbeat::Heartbeat;
pub use hint::{Hint, HintQueues, Hints, serve_hints};
pub use ledger::LedgerEntry;
pub use monitor::{Heard, Verdict, Watch};
pub use offer::Offer;
pub use overload::Strain;
pub use tables::{
    CANCEL_SUFFIX, INTAKE, JOB, LEAD, LEARNED, LEDGER, PENDING, PHASE, RECORD, decode_phase, encode_phase,
    intake_partition,
};
