//! Jobs as graphs of steps.
//!
//! A job consists of steps, and a step of tasks. A step starts when the steps that it depends on have ended. The tasks
//! of a gang step form one unit that runs as a whole or not at all; every other task is a unit of its own. The submitted
//! graph never changes; [`JobRecord`] holds the state of the job.

mod bounded_steps;
mod error;
mod job_graph;
mod job_record;
mod phase;
mod place;
mod queue_settings;
mod step;
mod submission;
mod task_name;
mod unit_record;

pub use bounded_steps::bounded_steps;
pub use error::GraphError;
pub use job_graph::JobGraph;
pub use job_record::JobRecord;
pub use phase::Phase;
pub use place::Place;
pub use queue_settings::{AdviceSettings, QueueSettings};
pub use step::Step;
pub use submission::Submission;
pub use task_name::TaskName;
pub use unit_record::UnitRecord;
