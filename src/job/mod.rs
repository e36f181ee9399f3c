//! Jobs: specification, stored state and outcome.
//!
//! These types are stored in the table and sent over HTTP, so their serialized form is stable. Field names are the JSON
//! names unless an attribute renames them, and requests of callers with unknown fields are rejected.

mod outcome;
mod row;
mod shape;
mod spec;

pub use outcome::{NotRunReason, Outcome};
pub use row::{JobRow, Phase, ROW_ANSWER_BYTES_MAX, Seat};
pub use shape::{ACCELERATORS_MAX, Adjacency, CORES_MAX, MEMBERS_MAX, MEMORY_MB_MAX, Shape, ShapeError};
pub use spec::{Class, JobSpec};
