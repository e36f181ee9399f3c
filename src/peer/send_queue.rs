//! Queue of one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio_util::bytes::Bytes;

use super::counts::Tally;
use crate::platform::Address;

/// Frames in a queue: a burst of cancellations fills it, and none of them is lost for longer than the planner's poll.
const FRAMES_MAX: usize = 256;
/// Age at which a frame is no longer sent.
const AGE_MAX: Duration = Duration::from_secs(1);

/// Frames that wait to be sent.
#[derive(Debug)]
pub(super) struct Outbox {
    pub address: Address,
    frames: Mutex<VecDeque<(Instant, Bytes)>>,
    filled: Notify,
}

impl Outbox {
    pub fn new(address: Address) -> Self {
        Self {
            address,
            frames: Mutex::default(),
            filled: Notify::new(),
        }
    }

    /// Adds a frame, dropping the oldest one of a full queue.
    pub fn push(&self, frame: Bytes, dropped: &Tally) {
        let mut frames = self.frames.lock().unwrap_or_else(PoisonError::into_inner);
        if frames.len() >= FRAMES_MAX
            && let Some((_, oldest)) = frames.pop_front()
        {
            dropped.add(oldest.len());
        }
        frames.push_back((Instant::now(), frame));
        drop(frames);
        self.filled.notify_one();
    }

    /// Takes the oldest frame that is still fresh.
    pub fn pop(&self, dropped: &Tally) -> Option<Bytes> {
        let mut frames = self.frames.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((since, frame)) = frames.pop_front() {
            if since.elapsed() <= AGE_MAX {
                return Some(frame);
            }
            dropped.add(frame.len());
        }
        None
    }

    /// Waits until a frame was added.
    pub async fn wait(&self) {
        self.filled.notified().await;
    }
}
