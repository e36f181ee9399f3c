//! Interface of the request senders.

use std::time::Instant;

use super::mix::Request;
use super::request_result::RequestResult;

/// Sends requests to the system under load.
pub trait Sender: Sync {
    /// Sends a request that was due at this time and waits for its result.
    fn send(&self, request: &Request, due: Instant) -> RequestResult;
}
