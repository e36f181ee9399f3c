//! HTTP client of the API, for the command line and for tools.

mod error;
mod http;

pub use error::ClientError;
pub use http::Client;
