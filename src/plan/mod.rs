//! The decision core: guarantees, order, placement and preemption for one pool.
//!
//! It is pure. [`Event`]s say what has happened, [`Policy::decide`] returns what to do next. The caller carries the
//! decisions out and reports back with further events; a decision that could not be carried out is reported as
//! [`Event::Unplaced`]. Time comes in with each call.

mod cells;
mod decide;
mod decision;
mod endpoint;
mod estimate;
mod event;
mod fleet;
mod guarantee;
mod health;
mod job_entry;
mod mask;
mod order;
mod pack;
mod place;
mod policy;
mod reclaim;
mod reserve;
mod scheduler;
mod search;

pub use decide::AGED_AFTER;
pub use decision::{Decision, StopReason};
pub use estimate::Estimates;
pub use event::{EndKind, EndpointSpec, Event, QueuedJob, RunningJob};
pub use guarantee::{Shortfall, fit_guarantees};
pub use health::{Health, Location};
pub use place::can_hold;
pub use policy::{Policy, Weights};
pub use scheduler::{GuaranteedCell, Scheduler};
