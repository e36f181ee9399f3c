//! Reading of request bodies.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use tiny_http::Request;

use super::{ApiError, Code};
use crate::config::Limits;

/// Size of the read buffer.
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

/// Reads a body within the limits on its size and duration.
pub(super) fn read(request: &mut Request, limits: &Limits) -> Result<Vec<u8>, ApiError> {
    let content_length = content_length(request);
    if content_length.is_some_and(|size| size > limits.body_bytes) {
        return Err(too_large(limits));
    }
    let start = Instant::now();
    let read_limit = Duration::from_millis(limits.header_ms);
    let mut bytes = Vec::new();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let reader = request.as_reader();
    loop {
        let count = match reader.read(&mut chunk) {
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(too_slow(limits)),
            Err(e) => {
                return Err(ApiError::new(
                    Code::BadRequest,
                    format!("The body cannot be read in full: {e}."),
                ));
            }
        };
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..count]);
        if bytes.len() as u64 > limits.body_bytes {
            return Err(too_large(limits));
        }
        if start.elapsed() > read_limit {
            return Err(too_slow(limits));
        }
    }
    match content_length {
        Some(size) if size > bytes.len() as u64 => Err(ApiError::new(
            Code::BadRequest,
            "The body is shorter than its Content-Length.",
        )),
        _ => Ok(bytes),
    }
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
