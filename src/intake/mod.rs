//! Accepts job graphs and answers the requests of callers.
//!
//! Any instance can accept a job: acceptance is one conditional write of the job under its id, and every other request
//! is answered from the store, so no instance needs to know which one leads. [`ConfigView`] holds the configuration and
//! its age; requests are denied while it is stale.

mod admission;
mod config_view;
mod deadline;
mod denial;
mod follow;
mod offering;
mod readiness;
mod receiver;
mod service;
mod stop_signal;
mod withdrawal_limit;

pub use admission::Admission;
pub use config_view::ConfigView;
pub use deadline::answer_deadline;
pub use denial::Denial;
pub use follow::follow_config;
pub use offering::Offering;
pub use readiness::ReadinessHandler;
pub use receiver::OfferReceiver;
pub use service::JobService;
pub use stop_signal::StopSignal;
