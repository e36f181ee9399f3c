//! Jobs as graphs of steps.
//!
//! A job consists of steps, a step of tasks. A step starts when the steps before it have ended. The tasks of a gang step
//! form one unit that runs whole or not at all; every other task is a unit of its own. The graph, as its caller sent it,
//! never changes; [`JobRecord`] holds what became of it.

mod error;
mod job_graph;
mod job_record;
mod phase;
mod place;
mod step;
mod submission;
mod task_name;
mod unit_record;

pub use error::GraphError;
pub use job_graph::JobGraph;
pub use job_record::JobRecord;
pub use phase::Phase;
pub use place::Place;
pub use step::Step;
pub use submission::Submission;
pub use task_name::TaskName;
pub use unit_record::UnitRecord;
