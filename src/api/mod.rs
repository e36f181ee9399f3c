//! HTTP API for callers and operators, with JSON bodies.
//!
//! The server knows nothing of scheduling: it parses requests, enforces limits and passes the requests to a
//! [`Handler`].

mod error;
mod handler;
mod http_service;
mod limiter;
mod response;
mod route;
mod server;
mod service;
mod view;

pub use error::{ApiError, Code};
pub use handler::Handler;
pub use limiter::{Drained, RequestLimiter};
pub use response::ApiResponse;
pub use route::{Route, WAIT_SECONDS_MAX};
pub use server::{Server, ServerError};
pub use view::{JobState, JobView, StatusView, TicketView};
