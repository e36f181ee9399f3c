//! Errors of the mesh.

use std::io;

use thiserror::Error;

use crate::name::NameError;
use crate::platform::Address;

/// Failure to start the mesh.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen for peer connections on {address}")]
    Listen {
        /// Address to listen on.
        address: Address,
        /// Cause.
        source: io::Error,
    },
    /// The thread of the mesh or its async runtime cannot be started.
    #[error("cannot start the thread for peer connections")]
    Thread(#[source] io::Error),
}

/// Why a connection with a peer was closed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// Reading or writing failed, or a frame exceeded [`FRAME_BYTES_MAX`](super::FRAME_BYTES_MAX).
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is not valid protobuf.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A message contains an invalid name.
    #[error("frame contains an invalid name: {0}")]
    Name(#[from] NameError),
    /// The first frame was not a `Hello`, a second `Hello` came, or a message came on a dialled connection.
    #[error("unexpected frame; `Hello` must come first and once, messages only from the dialling side")]
    UnexpectedFrame,
    /// Another instance than the dialled one answered at the address.
    #[error("address belongs to another instance: {0}")]
    WrongInstance(String),
    /// No frame arrived, or a write did not finish, in time.
    #[error("timed out")]
    Timeout,
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
}

impl ConnectionError {
    /// Whether the peer sent something that the protocol does not allow.
    pub fn is_protocol_violation(&self) -> bool {
        match self {
            // The codec reports a frame above the size limit with this kind.
            Self::Io(e) => e.kind() == io::ErrorKind::InvalidData,
            Self::Decode(_) | Self::Name(_) | Self::UnexpectedFrame | Self::WrongInstance(_) => true,
            Self::Timeout | Self::Closed => false,
        }
    }
}
