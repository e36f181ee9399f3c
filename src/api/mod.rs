//! The interface of callers and operators: HTTP and JSON.
//!
//! The server knows nothing of scheduling; it parses requests, bounds them, and hands them to a [`Handler`].

mod body;
mod error;
mod handler;
mod limiter;
mod response;
mod route;
mod server;
mod service;
mod view;

pub use error::{ApiError, Code};
pub use handler::Handler;
pub use limiter::{Drained, Gate};
pub use response::Answer;
pub use route::{Route, WAIT_SECONDS_MAX};
pub use server::{Server, ServerError};
pub use view::{JobState, JobView, StatusView, TicketView};
