//! Objects of the configuration, which change tickets set: teams with their guarantees, kinds of jobs, and pools.

mod catalog;
mod guarantee;
mod kind;
mod object;
mod pool;
mod quota;

pub use catalog::Catalog;
pub use guarantee::{Guarantee, Level};
pub use kind::Kind;
pub use object::Object;
pub use pool::Pool;
pub use quota::Team;
