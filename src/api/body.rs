//! Reading of request bodies.

use std::io::{self, ErrorKind, Read};
use std::time::{Duration, Instant};

use tiny_http::Request;

use super::{ApiError, BodyLease, Code, HeldBody, Refusal};
use crate::config::Limits;

/// Size of the read buffer, and of the pieces in which a body is added to the budget.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Declared size above which a request is rejected without discarding its body. `tiny_http` discards the rest of a
/// rejected body through a buffer of the whole declared size, and a size that cannot be allocated aborts the process.
pub(super) const DISCARD_BYTES_MAX: u64 = 256 * 1024 * 1024;

/// Value of the Content-Length header.
pub(super) fn content_length(request: &Request) -> Option<u64> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Content-Length"));
    header.and_then(|header| header.value.as_str().parse().ok())
}

/// Reads a body within the limits on its size and duration. `make_room` evicts a body larger than the given size and
/// returns whether there was one.
pub(super) fn read<F>(
    request: &mut Request,
    limits: &Limits,
    mut lease: BodyLease,
    mut make_room: F,
) -> Result<HeldBody, ApiError>
where
    F: FnMut(u64) -> bool,
{
    let content_length = content_length(request);
    if content_length.is_some_and(|size| size > limits.body_bytes) {
        return Err(too_large(limits));
    }
    let start = Instant::now();
    let read_limit = Duration::from_millis(limits.header_ms);
    let mut size = 0;
    let mut piece = vec![0; READ_CHUNK_BYTES];
    let reader = request.as_reader();
    loop {
        let (count, at_end) = fill(reader, &mut piece, |count| {
            size + count as u64 <= limits.body_bytes && start.elapsed() <= read_limit
        })
        .map_err(|e| read_error(&e, limits))?;
        size += count as u64;
        if size > limits.body_bytes {
            return Err(too_large(limits));
        }
        if start.elapsed() > read_limit {
            return Err(too_slow(limits));
        }
        while let Err(refusal) = lease.append(&piece[..count]) {
            if refusal == Refusal::Evicted || !make_room(size) {
                return Err(refused(refusal));
            }
        }
        if at_end {
            break;
        }
    }
    if content_length.is_some_and(|declared| declared > size) {
        return Err(ApiError::new(
            Code::BadRequest,
            "The body is shorter than its Content-Length.",
        ));
    }
    lease.complete().map_err(refused)
}

/// Reads until the buffer is full, the body ends or `may_continue` returns false for the number of bytes read. Returns
/// that number and whether the body has ended.
fn fill<F>(reader: &mut dyn Read, buffer: &mut [u8], may_continue: F) -> io::Result<(usize, bool)>
where
    F: Fn(usize) -> bool,
{
    let mut filled = 0;
    while filled < buffer.len() && may_continue(filled) {
        let count = reader.read(&mut buffer[filled..])?;
        if count == 0 {
            return Ok((filled, true));
        }
        filled += count;
    }
    Ok((filled, false))
}

/// Reads and drops the rest of a body until `limits.header_ms` after `start`. `tiny_http` would read the rest through a
/// buffer of its whole size.
pub(super) fn discard(request: &mut Request, limits: &Limits, start: Instant) {
    let has_field = |name| request.headers().iter().any(|header| header.field.equiv(name));
    let is_large =
        has_field("Transfer-Encoding") || content_length(request).is_some_and(|size| size > READ_CHUNK_BYTES as u64);
    // A client that expects 100 has not sent its body. After an upgrade the body would have no end.
    if !is_large || has_field("Expect") || has_field("Upgrade") {
        return;
    }
    let read_limit = Duration::from_millis(limits.header_ms);
    let mut piece = vec![0; READ_CHUNK_BYTES];
    let reader = request.as_reader();
    while start.elapsed() <= read_limit && reader.read(&mut piece).is_ok_and(|count| count > 0) {}
}

fn read_error(e: &io::Error, limits: &Limits) -> ApiError {
    match e.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => too_slow(limits),
        _ => ApiError::new(Code::BadRequest, format!("The body cannot be read in full: {e}.")),
    }
}

fn refused(refusal: Refusal) -> ApiError {
    let message = match refusal {
        Refusal::Full => "The bodies of other requests use up `limits.held_bytes`.",
        Refusal::Evicted => "The body arrived slowly and gave way to other requests.",
    };
    ApiError::new(
        Code::Busy,
        format!("{message} This request was not run; send it again in a second."),
    )
}

fn too_slow(limits: &Limits) -> ApiError {
    let message = format!("The body did not arrive within {} ms.", limits.header_ms);
    ApiError::new(Code::BadRequest, message)
}

fn too_large(limits: &Limits) -> ApiError {
    let message = format!(
        "The body is larger than {} bytes. Put large input into the object store and name it in the payload.",
        limits.body_bytes
    );
    ApiError::new(Code::TooLarge, message)
}
