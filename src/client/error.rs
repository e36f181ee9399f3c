//! Client errors.

use thiserror::Error;

use crate::api::ApiError;
use crate::platform::Address;

/// Reason why a request has no successful response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClientError {
    /// The instance cannot be reached, or the request is not valid. The request was not sent.
    #[error("{address} cannot be reached, so the request was not run: {reason}")]
    Unreached {
        /// Address of the instance.
        address: Address,
        /// Cause of the failure.
        reason: String,
    },
    /// The request was sent, but its response was not received in full or is not valid.
    #[error("no valid response from {address}; send the request again with the same id or number: {reason}")]
    Lost {
        /// Address of the instance.
        address: Address,
        /// Cause of the failure.
        reason: String,
    },
    /// The instance returned an error.
    #[error(transparent)]
    Refused(#[from] ApiError),
}
