//! Counts of frames.

use std::sync::atomic::{AtomicU64, Ordering};

/// Frames and their bytes, with the length before each but without TCP and IP headers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Frames, empty ones included.
    pub frames: u64,
    /// Bytes.
    pub bytes: u64,
}

/// Counts since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Sent.
    pub sent: Traffic,
    /// Received.
    pub received: Traffic,
    /// Dropped from a full queue, or too old, before they were sent.
    pub dropped: Traffic,
    /// Received and dropped because the receiving channel was full.
    pub overrun: u64,
    /// Connections closed because of what was received on them.
    pub rejected: u64,
}

/// A count that several threads raise.
#[derive(Debug, Default)]
pub(super) struct Tally {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Tally {
    /// Counts a frame of this many bytes, without its length.
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
