//! Deadlines of requests.

use std::time::Duration;

use tokio::time::Instant;

/// Deadline of a request whose caller names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Part of the deadline that is left for the response to reach the caller, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 150;

/// Longest deadline, in milliseconds; longer ones are cut to it.
const MAX_DEADLINE_MS: u64 = 60_000;

/// Time by which a request has to be answered whose caller waits for `requested_ms` milliseconds from now.
pub fn answer_deadline(requested_ms: Option<u64>) -> Instant {
    let remaining_ms = requested_ms
        .unwrap_or(DEFAULT_DEADLINE_MS)
        .min(MAX_DEADLINE_MS)
        .saturating_sub(RESPONSE_MARGIN_MS);
    Instant::now() + Duration::from_millis(remaining_ms)
}
