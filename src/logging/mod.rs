//! Structured logging to standard error, or rate-limited to standard output.
//!
//! A line names its subjects in fields, not in its text, so that an operator can find all lines about one job:
//! `log::info!(job:% = id, attempt = 2; "placed")`. Common field names are `job`, `attempt`, `ticket`, `pool`,
//! `endpoint`, `instance` and `step`. Plain lines show the fields in braces, JSON lines under `kv`.

mod bounded_writer;
mod error;
mod start;

pub use error::LoggingError;
pub use start::{Logging, start, start_bounded};
