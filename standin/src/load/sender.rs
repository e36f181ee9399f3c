//! Something that requests can be sent to.

use std::time::Instant;

use super::mix::Request;
use super::request_result::RequestResult;

/// Something that requests can be sent to.
pub trait Sender: Sync {
    /// Sends a request that was due at this time, and waits for its end.
    fn send(&self, request: &Request, due: Instant) -> RequestResult;
}
