//! HTTP client for the API, used by the command line and by tools.

mod error;
mod http;

pub use error::ClientError;
pub use http::Client;
