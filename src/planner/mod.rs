//! The planner of one pool.
//!
//! [`Planner::claim`] claims a pool and loads its rows. [`Planner::step`] passes events to the policy, commits its
//! decisions, and returns the requests for endpoints; [`Planner::handle_answer`] handles their answers. Requests are
//! sent with [`Request::send`]: inline in tests, by a pool of threads in the daemon.
//!
//! A job's row holds what is committed, the members' states what their endpoints last answered. In phase `placed` no
//! member runs, and the attempt can always be undone. In phase `running` members may run, and the attempt ends only
//! when each member is known to have stopped or its lease has lapsed. Every transaction checks the version of the pool
//! row, which changes only when the holder changes.

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
