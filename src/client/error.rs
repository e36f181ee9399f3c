//! Errors of the client.

use thiserror::Error;

use crate::api::ApiError;
use crate::platform::Address;

/// Reason why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClientError {
    /// The instance cannot be reached; the request was not sent.
    #[error("{address} cannot be reached, so nothing was run: {reason}")]
    Unreached {
        /// Its address.
        address: Address,
        /// Why.
        reason: String,
    },
    /// The request was sent, and its answer did not come or makes no sense.
    #[error("the answer of {address} was lost; ask again with the same id or number: {reason}")]
    Lost {
        /// Its address.
        address: Address,
        /// Why.
        reason: String,
    },
    /// The instance refused the request.
    #[error(transparent)]
    Refused(#[from] ApiError),
}
