//! Queue of the frames to send to one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio_util::bytes::Bytes;

use super::counts::TrafficCounter;
use crate::platform::Address;

/// Limit on queued frames. A burst of cancellations may fill the queue; the planner's next poll finds those whose
/// frames were dropped.
const QUEUED_FRAMES_MAX: usize = 256;
/// Age above which a frame is dropped instead of sent.
const FRAME_AGE_MAX: Duration = Duration::from_secs(1);

/// Frames to send to one peer, with the time at which they were queued.
#[derive(Debug)]
pub(super) struct SendQueue {
    pub address: Address,
    frames: Mutex<VecDeque<(Instant, Bytes)>>,
    frame_added: Notify,
}

impl SendQueue {
    pub fn new(address: Address) -> Self {
        Self {
            address,
            frames: Mutex::default(),
            frame_added: Notify::new(),
        }
    }

    /// Adds a frame; a full queue drops its oldest one.
    pub fn push(&self, frame: Bytes, dropped: &TrafficCounter) {
        let mut frames = self.frames.lock().unwrap_or_else(PoisonError::into_inner);
        if frames.len() >= QUEUED_FRAMES_MAX
            && let Some((_, oldest)) = frames.pop_front()
        {
            dropped.add(oldest.len());
        }
        frames.push_back((Instant::now(), frame));
        drop(frames);
        self.frame_added.notify_one();
    }

    /// Removes the oldest frame that is not too old, dropping older ones.
    pub fn pop(&self, dropped: &TrafficCounter) -> Option<Bytes> {
        let mut frames = self.frames.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((queued_at, frame)) = frames.pop_front() {
            if queued_at.elapsed() <= FRAME_AGE_MAX {
                return Some(frame);
            }
            dropped.add(frame.len());
        }
        None
    }

    /// Waits until a frame is added.
    pub async fn wait_for_frame(&self) {
        self.frame_added.notified().await;
    }
}
