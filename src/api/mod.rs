//! The interface of callers and operators: HTTP and JSON.
//!
//! The server knows nothing of scheduling; it parses requests, bounds them, and hands them to a [`Handler`].

mod error;
mod handler;
mod view;

pub use error::{ApiError, Code};
pub use handler::Handler;
pub use view::{JobState, JobView, StatusView, TicketView};
