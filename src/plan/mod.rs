//! The decision core: guarantees, order, placement and preemption for one pool.
//!
//! It is pure. [`Event`]s say what has happened, [`Policy::decide`] returns what to do next. The caller carries the
//! decisions out and reports back with further events; a decision that could not be carried out is reported as
//! [`Event::Unplaced`]. Time comes in with each call.

mod cell;
mod decision;
mod event;
mod fleet;
mod place;
mod policy;
mod scheduler;
mod worker;

pub use decision::{Decision, StopReason};
pub use event::{EndKind, Event, QueuedJob, RunningJob, WorkerSpec};
pub use policy::{Policy, Weights};
pub use scheduler::Scheduler;
