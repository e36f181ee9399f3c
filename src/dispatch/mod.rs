//! The dispatcher decides which task runs on which endpoint, and when.
//!
//! [`Dispatcher`] does no I/O. Its inputs are accepted jobs, the configuration, the endpoints' list entries and
//! reports, and the answers to orders, each with the time at which it arrived. Its outputs are orders to send and
//! records to store. A start order is released only after the record that names its endpoint and run number has been
//! stored, so a later leader knows where every run may be. An endpoint may forget the end of a run only after its
//! consequences have been stored.
//!
//! Jobs consist of units (a gang or a single task), and each task of a placed unit is a member in one of the states of
//! [`MemberState`]. The resources of a member count as used until the endpoint has shown that the run is gone, or until
//! every lease that may cover the run has expired.

mod advice;
mod advice_calls;
mod advice_candidate;
mod advice_tickets;
mod answers;
mod claim;
mod claim_chance;
mod counts;
mod crowding;
mod dirty_queue;
mod dispatcher;
mod drain_bound;
mod dry_run;
mod effect;
mod endpoint;
mod endpoint_view;
mod evacuate;
mod explain;
mod free_counts;
mod guarantee;
mod incarnation;
mod interfering;
mod job;
mod learned;
mod lease_bound;
mod lease_source;
mod member;
mod obstacles;
mod permit;
mod persist;
mod place;
mod pool_view;
mod preempt;
mod probe_slots;
mod rank;
mod record_room;
mod report;
mod reservation;
mod room;
mod round;
mod round_cache;
mod snapshot;
mod speed;
mod taken_address;
mod tuning;
mod unit;
mod unit_index;
mod unmatched_end;
mod urgent_choice;
mod victim_table;
mod work_estimates;

pub use advice_tickets::AdviceTickets;
pub use counts::Counts;
pub use dispatcher::Dispatcher;
pub use effect::{AdviceRequest, Effect, Start, Stop};
pub use endpoint::{Endpoint, Hold};
pub use endpoint_view::EndpointView;
pub use job::Job;
pub use learned::{Learned, LearnedKind, LearnedMoments, LearnedSpeed, LearnedWork};
pub use lease_bound::LeaseBound;
pub use lease_source::LeaseSource;
pub use member::{Member, MemberState};
pub use snapshot::{JobWrite, Snapshot};
pub use speed::{SpeedEstimate, StepSpeeds};
pub use tuning::Tuning;
pub use unit::{Unit, UnitState};
pub use work_estimates::{WorkEstimates, WorkStats};
