//! Digests of request bodies.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// SHA-256 of a body, in hexadecimal.
pub fn digest(body: &[u8]) -> String {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(body) {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
