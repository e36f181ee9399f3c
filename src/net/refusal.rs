//! Reason why a request was not passed to the handler.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use super::empty_response;

/// Time after which a client may repeat a request that was refused for lack of memory, in seconds.
const REFUSED_RETRY_AFTER_S: u16 = 1;

/// Reason why a request was not passed to the handler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The body is larger than the limit for one.
    TooLarge,
    /// The request did not arrive in time.
    TooSlow,
    /// The body ended early or is not valid HTTP; with the cause.
    Unreadable(String),
    /// The bodies of other requests use up the memory.
    Overloaded,
    /// The request gave way to others.
    Evicted,
}

impl Refusal {
    /// An answer without a body.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let mut response = empty_response(match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow | Self::Unreadable(_) => StatusCode::BAD_REQUEST,
            Self::Overloaded | Self::Evicted => StatusCode::SERVICE_UNAVAILABLE,
        });
        if matches!(self, Self::Overloaded | Self::Evicted) {
            let retry_after = HeaderValue::from(REFUSED_RETRY_AFTER_S);
            response.headers_mut().insert("retry-after", retry_after);
        }
        response
    }
}
