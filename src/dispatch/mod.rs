//! Decides which task runs where, and when.
//!
//! [`Dispatcher`] is pure: accepted jobs, the configuration, entries and reports of endpoints and answers to orders go in
//! with the time at which they arrived; orders and records to store come out. An order to start is released only after the
//! record that names its endpoint and its run has been stored, so that a later leader knows where every run may be. The
//! end of a run is acknowledged to its endpoint only after what follows from it has been stored.
//!
//! A member of a unit is in one of the states of [`MemberState`]. Its room counts as taken until the endpoint has shown
//! that the run is gone, or until every lease that may cover it has passed.

mod advice;
mod advice_tickets;
mod answers;
mod counts;
mod dispatcher;
mod effect;
mod endpoint;
mod endpoint_view;
mod evacuate;
mod job;
mod learned;
mod member;
mod permit;
mod persist;
mod place;
mod pool_view;
mod preempt;
mod rank;
mod report;
mod round;
mod snapshot;
mod speed;
mod tuning;
mod unit;
mod victim_search;
mod work_estimates;

pub use advice_tickets::AdviceTickets;
pub use counts::Counts;
pub use dispatcher::Dispatcher;
pub use effect::{AdviceRequest, Effect, Start, Stop};
pub use endpoint::{Endpoint, Hold};
pub use endpoint_view::EndpointView;
pub use job::Job;
pub use learned::{Learned, LearnedSpeed, LearnedWork};
pub use member::{Member, MemberState};
pub use snapshot::{JobWrite, Snapshot};
pub use speed::{SpeedEstimate, StepSpeeds};
pub use tuning::Tuning;
pub use unit::{Unit, UnitState};
pub use work_estimates::{WorkEstimates, WorkStats};
