//! Full mesh of connections between the instances.
//!
//! Each instance dials every other one. It sends messages on the connections that it dialled and receives messages on
//! those that it accepted. All messages are hints: a send queue is bounded and drops its oldest frame, a lost
//! connection is dialled again, and no message is sent twice. Peers are not authenticated, so the
//! peer port must be reachable only from the network of the instances.
//!
//! A hint that arrives late must not be taken for a fresh one, because the planner relies for some seconds on the
//! session state that a peer sent. Therefore frames that wait too long in a send queue are dropped, both sides send a
//! frame at least each second, and a connection without a frame for longer than [`READ_TIMEOUT`] is closed without
//! reading the frames that are buffered in it.

mod acceptor;
mod counts;
mod dialer;
mod error;
mod mesh;
mod message;
mod send_queue;
mod shared;
mod wire;

use std::time::Duration;

pub use counts::{Counts, Traffic};
pub use error::{ConnectionError, PeerError};
pub use mesh::Mesh;
pub use message::{Head, Hello, Message, ReceivedMessage, Recipient};

/// Largest frame, in bytes without the length prefix.
pub const FRAME_BYTES_MAX: usize = 16 * 1024;
/// Time without a frame after which an empty one is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame from the peer after which a connection is closed.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a connection attempt, and of a write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
