//! What the tasks of a mesh share, and the reading and writing of frames.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::counts::Tally;
use super::send_queue::Outbox;
use super::wire::{Decoded, decode};
use super::{Counts, FRAME_BYTES_MAX, FrameError, Hello, PATIENCE, ReceivedMessage, SILENCE_MAX};
use crate::name::InstanceName;

/// State shared by the tasks.
#[derive(Debug)]
pub(super) struct Shared {
    pub me: Hello,
    pub inbound: flume::Sender<ReceivedMessage>,
    pub sent: Tally,
    pub received: Tally,
    pub dropped: Tally,
    overrun: AtomicU64,
    rejected: AtomicU64,
    outboxes: Mutex<BTreeMap<InstanceName, Arc<Outbox>>>,
}

impl Shared {
    pub fn new(me: Hello, inbound: flume::Sender<ReceivedMessage>) -> Self {
        Self {
            me,
            inbound,
            sent: Tally::default(),
            received: Tally::default(),
            dropped: Tally::default(),
            overrun: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            outboxes: Mutex::default(),
        }
    }

    pub fn outboxes(&self) -> MutexGuard<'_, BTreeMap<InstanceName, Arc<Outbox>>> {
        self.outboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn counts(&self) -> Counts {
        Counts {
            sent: self.sent.get(),
            received: self.received.get(),
            dropped: self.dropped.get(),
            overrun: self.overrun.load(Ordering::Relaxed),
            rejected: self.rejected.load(Ordering::Relaxed),
        }
    }

    /// Hands an event on; a receiver that does not keep up loses it.
    pub fn deliver(&self, event: ReceivedMessage) {
        if self.inbound.try_send(event).is_err() {
            self.overrun.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Notes why a connection was closed.
    pub fn closed(&self, who: &dyn std::fmt::Display, error: &FrameError) {
        if error.is_fault() {
            self.rejected.fetch_add(1, Ordering::Relaxed);
        }
        log::debug!("peer connection with {who} closed: {error}");
    }
}

/// Reading half of a connection.
pub(super) struct Reader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    last: Instant,
}

/// Writing half of a connection.
pub(super) struct Writer(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}

/// Splits a connection.
pub(super) fn split(stream: TcpStream) -> Result<(Reader, Writer), FrameError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let reader = Reader {
        frames: FramedRead::new(read, codec()),
        last: Instant::now(),
    };
    Ok((reader, Writer(FramedWrite::new(write, codec()))))
}

impl Reader {
    /// The next frame with content.
    pub async fn next(&mut self, shared: &Shared) -> Result<Decoded, FrameError> {
        loop {
            let bytes = match timeout(SILENCE_MAX, self.frames.next()).await {
                Ok(Some(bytes)) => bytes?,
                Ok(None) => return Err(FrameError::Closed),
                Err(_) => return Err(FrameError::Silent),
            };
            // After a pause of this process the frames that have piled up are ready at once, and too old.
            if self.last.elapsed() > SILENCE_MAX {
                return Err(FrameError::Silent);
            }
            self.last = Instant::now();
            shared.received.add(bytes.len());
            if let Some(decoded) = decode(&bytes)? {
                return Ok(decoded);
            }
        }
    }

    /// The first frame, which must tell who speaks.
    pub async fn hello(&mut self, shared: &Shared) -> Result<Hello, FrameError> {
        match self.next(shared).await? {
            Decoded::Hello(hello) => Ok(hello),
            Decoded::Message(_) => Err(FrameError::Order),
        }
    }
}

impl Writer {
    /// Writes a frame; `flush` sends it.
    pub async fn feed(&mut self, frame: Bytes, shared: &Shared) -> Result<(), FrameError> {
        shared.sent.add(frame.len());
        match timeout(PATIENCE, self.0.feed(frame)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(FrameError::Silent),
        }
    }

    /// Sends what was written.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        match timeout(PATIENCE, SinkExt::<Bytes>::flush(&mut self.0)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(FrameError::Silent),
        }
    }
}
