//! The planner of one pool.
//!
//! [`Planner::claim`] takes a pool over and loads its rows. [`Planner::step`] feeds the decision core, commits what it
//! decides, and returns the requests that endpoints are to get; [`Planner::handle_answer`] takes their answers. Requests are
//! carried out by [`Request::send`], in tests at once, in the daemon by a set of threads.
//!
//! A job's row says what is certain, the members' states what was last heard. `placed` means that nothing runs: such an
//! attempt can always be undone. `running` means that members may run: such an attempt ends only when each member is
//! known to have stopped, or its lease has lapsed. Every transaction checks the pool row, whose version changes only
//! when the pool changes hands.

mod attempt;
mod claim;
mod controller;
mod endpoint_io;
mod endpoint_link;
mod error;
mod fleet;
mod job_change;
mod member;
mod pool_store;
mod request;
mod table_io;
mod tracked_job;

pub use claim::Claim;
pub use controller::{Planner, StepInput, StepOutput};
pub use error::PlannerError;
pub use request::{Answer, Request, RequestBody};
