//! Explanations: where a job would go now, and why, without accepting it.
//!
//! An [`Explanation`] holds plain values. The dispatcher fills it from the functions that decide a scheduling round; it is
//! for operators, since it names the jobs of all teams that would be stopped.

mod endpoint_note;
mod exclusion;
mod explanation;
mod hold_up;
mod shortfall;
mod step_plan;
mod unknown_queue;
mod victim_note;

pub use endpoint_note::EndpointNote;
pub use exclusion::Exclusion;
pub use explanation::Explanation;
pub use hold_up::HoldUp;
pub use shortfall::Shortfall;
pub use step_plan::StepPlan;
pub use unknown_queue::UnknownQueue;
pub use victim_note::VictimNote;
