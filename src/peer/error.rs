//! Errors of the mesh.

use std::io;

use thiserror::Error;

use crate::name::NameError;
use crate::platform::Address;

/// Failure to start.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address is in use or not of this machine.
    #[error("cannot listen for peers on {address}")]
    Listen {
        /// The address.
        address: Address,
        /// Why not.
        source: io::Error,
    },
    /// No thread or runtime can be started.
    #[error("cannot start the thread for peers")]
    Thread(#[source] io::Error),
}

/// Why a connection was closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection broke, or a frame was too large.
    #[error("connection broke: {0}")]
    Io(#[from] io::Error),
    /// The bytes are no message.
    #[error("frame cannot be read: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A name in the message is none.
    #[error("frame contains a wrong name: {0}")]
    Name(#[from] NameError),
    /// The first frame was no `Hello`, or a second one came.
    #[error("`Hello` expected as the first frame, and only there")]
    Order,
    /// Another instance answered at the address.
    #[error("another instance than expected: {0}")]
    Stranger(String),
    /// No frame came for too long.
    #[error("silent for too long")]
    Silent,
    /// The other side closed the connection.
    #[error("closed by the other side")]
    Closed,
}

impl FrameError {
    /// Whether the other side sent what it must not.
    pub fn is_fault(&self) -> bool {
        match self {
            // The codec reports a frame above the largest size in this way.
            Self::Io(e) => e.kind() == io::ErrorKind::InvalidData,
            Self::Decode(_) | Self::Name(_) | Self::Order | Self::Stranger(_) => true,
            Self::Silent | Self::Closed => false,
        }
    }
}
