//! Decides which task runs where, and when.
//!
//! [`Dispatcher`] is pure: accepted jobs, the configuration, entries and reports of endpoints and answers to orders go in
//! with the time at which they arrived; orders and records to store come out. An order to start is released only after the
//! record that names its endpoint and its run has been stored, so that a later leader knows where every run may be. The
//! end of a run is acknowledged to its endpoint only after what follows from it has been stored.
//!
//! A member of a unit is in one of the states of [`MemberState`]. Its room counts as taken until the endpoint has shown
//! that the run is gone, or until every lease that may cover it has passed.

mod advise;
mod answers;
mod claim;
mod counts;
mod dispatcher;
mod effect;
mod endpoint;
mod evacuate;
mod job;
mod learned;
mod member;
mod order;
mod pace;
mod permit;
mod place;
mod preempt;
mod report;
mod round;
mod site;
mod sites;
mod snapshot;
mod storing;
mod tickets;
mod tuning;
mod unit;
mod works;

pub use counts::Counts;
pub use dispatcher::Dispatcher;
pub use effect::{AdviceRequest, Effect, Start, Stop};
pub use endpoint::{Endpoint, Hold};
pub use job::Job;
pub use learned::{Learned, LearnedPace, LearnedWork};
pub use member::{Member, MemberState};
pub use pace::{Pace, StepPace};
pub use site::Site;
pub use snapshot::{JobWrite, Snapshot};
pub use tickets::Tickets;
pub use tuning::Tuning;
pub use unit::{Unit, UnitState};
pub use works::{Work, Works};
