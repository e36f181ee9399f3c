//! The interface of callers and operators: HTTP and JSON.
//!
//! The server knows nothing of scheduling; it parses requests, bounds them, and hands them to a [`Handler`].

mod answer;
mod body;
mod error;
mod gate;
mod handler;
mod route;
mod server;
mod service;
mod view;

pub use answer::Answer;
pub use error::{ApiError, Code};
pub use gate::{Drained, Gate};
pub use handler::Handler;
pub use route::{Route, WAIT_SECONDS_MAX};
pub use server::{Server, ServerError};
pub use view::{JobState, JobView, StatusView, TicketView};
