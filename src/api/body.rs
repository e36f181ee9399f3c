//! Reading of bodies.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use tiny_http::Request;

use super::{ApiError, Code};
use crate::config::Limits;

/// Size of one read.
const PIECE_BYTES: usize = 16 * 1024;

/// Declared size above which the connection is given up. `tiny_http` discards the rest of a refused body through a
/// buffer of its whole declared size, and a size that cannot be allocated ends the process.
pub(super) const DISCARD_BYTES_MAX: u64 = 256 * 1024 * 1024;

/// Size that the header declares.
pub(super) fn declared(request: &Request) -> Option<u64> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Content-Length"));
    header.and_then(|header| header.value.as_str().parse().ok())
}

/// Reads a body within the limits.
pub(super) fn read(request: &mut Request, limits: &Limits) -> Result<Vec<u8>, ApiError> {
    let declared = declared(request);
    if declared.is_some_and(|size| size > limits.body_bytes) {
        return Err(too_large(limits));
    }
    let start = Instant::now();
    let time = Duration::from_millis(limits.header_ms);
    let mut bytes = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    let reader = request.as_reader();
    loop {
        let count = match reader.read(&mut piece) {
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(too_slow(limits)),
            Err(e) => return Err(ApiError::new(Code::BadRequest, format!("The body broke off: {e}."))),
        };
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&piece[..count]);
        if bytes.len() as u64 > limits.body_bytes {
            return Err(too_large(limits));
        }
        if start.elapsed() > time {
            return Err(too_slow(limits));
        }
    }
    match declared {
        Some(size) if size > bytes.len() as u64 => {
            Err(ApiError::new(Code::BadRequest, "The body is shorter than declared."))
        }
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
