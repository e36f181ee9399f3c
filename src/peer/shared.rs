//! State shared by the tasks of a mesh, and the frame reader and writer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::counts::TrafficCounter;
use super::send_queue::SendQueue;
use super::wire::{Decoded, decode};
use super::{ConnectionError, Counts, FRAME_BYTES_MAX, Hello, IO_TIMEOUT, READ_TIMEOUT, ReceivedMessage};
use crate::name::InstanceName;

/// State shared by the acceptor, the dialers and the [`Mesh`](super::Mesh).
#[derive(Debug)]
pub(super) struct Shared {
    pub own_hello: Hello,
    pub inbound: flume::Sender<ReceivedMessage>,
    pub sent: TrafficCounter,
    pub received: TrafficCounter,
    pub dropped: TrafficCounter,
    overrun: AtomicU64,
    rejected: AtomicU64,
    queues: Mutex<BTreeMap<InstanceName, Arc<SendQueue>>>,
}

impl Shared {
    pub fn new(own_hello: Hello, inbound: flume::Sender<ReceivedMessage>) -> Self {
        Self {
            own_hello,
            inbound,
            sent: TrafficCounter::default(),
            received: TrafficCounter::default(),
            dropped: TrafficCounter::default(),
            overrun: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            queues: Mutex::default(),
        }
    }

    pub fn queues(&self) -> MutexGuard<'_, BTreeMap<InstanceName, Arc<SendQueue>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Passes a message to the owner of the mesh. Drops and counts it if the channel is full, so that a slow owner does
    /// not block the connections.
    pub fn deliver(&self, received_message: ReceivedMessage) {
        if self.inbound.try_send(received_message).is_err() {
            self.overrun.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Logs why a connection was closed, and counts it as rejected if the peer violated the protocol.
    pub fn record_close(&self, who: &dyn std::fmt::Display, error: &ConnectionError) {
        if error.is_protocol_violation() {
            self.rejected.fetch_add(1, Ordering::Relaxed);
        }
        log::debug!("connection with peer {who} closed: {error}");
    }
}

/// Reading half of a connection.
pub(super) struct Reader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    last_frame_at: Instant,
}

/// Writing half of a connection.
pub(super) struct Writer(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}

/// Splits a connection into frame reader and writer.
pub(super) fn split(stream: TcpStream) -> Result<(Reader, Writer), ConnectionError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let reader = Reader {
        frames: FramedRead::new(read, codec()),
        last_frame_at: Instant::now(),
    };
    Ok((reader, Writer(FramedWrite::new(write, codec()))))
}

impl Reader {
    /// Reads the next frame with content; empty frames only reset the read timeout.
    pub async fn next_frame(&mut self, shared: &Shared) -> Result<Decoded, ConnectionError> {
        loop {
            let bytes = match timeout(READ_TIMEOUT, self.frames.next()).await {
                Ok(Some(bytes)) => bytes?,
                Ok(None) => return Err(ConnectionError::Closed),
                Err(_) => return Err(ConnectionError::Timeout),
            };
            // After a pause of this process the frames buffered in the meantime are readable at once, so the timeout
            // above does not fire; they are too old to be used.
            if self.last_frame_at.elapsed() > READ_TIMEOUT {
                return Err(ConnectionError::Timeout);
            }
            self.last_frame_at = Instant::now();
            shared.received.add(bytes.len());
            if let Some(decoded) = decode(&bytes)? {
                return Ok(decoded);
            }
        }
    }

    /// Reads the first frame, which must be a `Hello`.
    pub async fn read_hello(&mut self, shared: &Shared) -> Result<Hello, ConnectionError> {
        match self.next_frame(shared).await? {
            Decoded::Hello(hello) => Ok(hello),
            Decoded::Message(_) => Err(ConnectionError::UnexpectedFrame),
        }
    }
}

impl Writer {
    /// Adds a frame to the write buffer; [`flush`](Self::flush) sends it.
    pub async fn feed(&mut self, frame: Bytes, shared: &Shared) -> Result<(), ConnectionError> {
        shared.sent.add(frame.len());
        match timeout(IO_TIMEOUT, self.0.feed(frame)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(ConnectionError::Timeout),
        }
    }

    /// Sends the frames in the write buffer.
    pub async fn flush(&mut self) -> Result<(), ConnectionError> {
        match timeout(IO_TIMEOUT, SinkExt::<Bytes>::flush(&mut self.0)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(ConnectionError::Timeout),
        }
    }
}
