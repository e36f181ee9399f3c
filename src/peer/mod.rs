//! Mesh between instances.
//!
//! Each instance dials every other one and sends on the connections that it dialled; it receives on those that it
//! accepted. All messages are hints: queues are bounded and drop the oldest entry, a lost connection is dialled again,
//! and nothing is repeated. Peers are not authenticated; the peer port belongs into a network of instances only.
//!
//! A hint must not arrive late and pass for a fresh one, because the planner trusts what a peer said of its session for
//! some seconds. Entries that wait too long in a queue are dropped, both ends send a frame at least each second, and a
//! connection that was silent for longer than [`SILENCE_MAX`] is closed without reading what has piled up in it.

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
pub use error::{FrameError, PeerError};
pub use mesh::Mesh;
pub use message::{Head, Hello, Message, ReceivedMessage, Recipient};

/// Largest frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 16 * 1024;
/// Time without a frame after which an empty one is sent.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Time without a frame after which a connection is closed.
pub const SILENCE_MAX: Duration = Duration::from_secs(3);
/// Time to connect, or to write.
const PATIENCE: Duration = Duration::from_secs(2);
