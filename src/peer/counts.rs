//! Counters of the frames and connections of a mesh.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number and size of frames, including the length prefix but not the TCP and IP headers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Frames, including empty ones.
    pub frames: u64,
    /// Bytes of these frames with their length prefixes.
    pub bytes: u64,
}

/// Counters since the mesh was started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Frames written to a connection.
    pub sent: Traffic,
    /// Frames read from a connection.
    pub received: Traffic,
    /// Frames dropped from a send queue because it was full or because they were too old.
    pub dropped: Traffic,
    /// Messages received and dropped because the channel to the owner of the mesh was full.
    pub overrun: u64,
    /// Connections closed because the peer violated the protocol.
    pub rejected: u64,
}

/// [`Traffic`] that several tasks and threads count.
#[derive(Debug, Default)]
pub(super) struct TrafficCounter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    /// Counts a frame of `bytes` bytes without its length prefix of 4 bytes.
    pub fn add(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64 + 4, Ordering::Relaxed);
    }

    pub fn get(&self) -> Traffic {
        Traffic {
            frames: self.frames.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
