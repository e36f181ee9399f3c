//! Takes job graphs in and answers callers.
//!
//! Any instance can take a job: acceptance is one conditional write of the job under its id, and every other question is
//! answered from the store, so that no instance needs to know which one leads. [`ConfigView`] follows the configuration and knows
//! how fresh it is; what a stale one allows or denies is not said.

mod admission;
mod config_view;
mod denial;
mod follow;
mod service;
mod stop_signal;

pub use admission::Admission;
pub use config_view::ConfigView;
pub use denial::Denial;
pub use follow::follow_config;
pub use service::JobService;
pub use stop_signal::StopSignal;
