//! The scheduling core: guarantees, queue order, placement and preemption for one pool.
//!
//! It does no I/O and reads no clock. [`Event`]s report what has happened and [`Policy::decide`] returns what to do
//! next; the time is an argument of each call. The caller carries the decisions out and reports the results as further
//! events. A placement that could not be carried out is reported as [`Event::Unplaced`].
//!
//! A job that runs outside its team's guarantee is a borrower. It may be stopped to vacate accelerators for a guarantee
//! or for a larger gang. The job that needs them claims the seats and is placed once the borrowers have ended.

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
