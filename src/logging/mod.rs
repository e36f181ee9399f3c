//! The log, written to standard error, or as bounded JSON lines to standard output.
//!
//! Lines carry what they are about as fields, not in their text, so that an operator can find all lines about one job:
//! `log::info!(job:% = id, attempt = 2; "placed")`. The field names in use are `job`, `attempt`, `ticket`, `pool`,
//! `endpoint`, `instance` and `step`. Plain lines show fields in braces, JSON lines have them under `kv`.

mod bounded_writer;
mod error;
mod start;

pub use error::LoggingError;
pub use start::{Logging, start, start_bounded};
