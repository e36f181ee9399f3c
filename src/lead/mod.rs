//! One instance leads: it decides for all endpoints and tends them.
//!
//! The leader is named by a row that it renews. Every transaction of a leader replaces the ledger row and expects the
//! version that its last one left there, so that a former leader, or a write that the store carries out late, changes
//! nothing. A new leader raises the fencing token in the same row, reads what is stored, and shows its token to each
//! endpoint before it orders anything there. Endpoints refuse lower tokens.

mod beat;
mod clean;
mod election;
mod feeds;
mod hint;
mod leader;
mod ledger;
mod offer;
mod progress;
mod retired;
mod strain;
mod tables;
mod tend;
mod watch;
mod writes;

pub use beat::Heartbeat;
pub use election::{Candidate, Timing, run};
pub use hint::{Hint, HintQueues, Hints, serve_hints};
pub use ledger::LedgerEntry;
pub use offer::Offer;
pub use strain::Strain;
pub use tables::{
    CANCEL_SUFFIX, INTAKE, JOB, LEAD, LEARNED, LEDGER, PENDING, PHASE, RECORD, decode_phase, encode_phase,
    intake_partition,
};
pub use watch::{Heard, Verdict, Watch};
