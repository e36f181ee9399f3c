//! Jobs: what a caller asks for, how far it has come, how it ended.
//!
//! These types are stored in the table and sent over HTTP, so their serialized form is stable: field names are the JSON
//! names, and unknown fields in a caller's request are refused.

mod outcome;
mod row;
mod shape;
mod spec;

pub use outcome::{NotRunReason, Outcome};
pub use row::{JobRow, Phase, ROW_ANSWER_BYTES_MAX, Seat};
pub use shape::{ACCELERATORS_MAX, Adjacency, CORES_MAX, MEMBERS_MAX, MEMORY_MB_MAX, Shape, ShapeError};
pub use spec::{Class, JobSpec};
