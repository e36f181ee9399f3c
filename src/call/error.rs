//! Why a call was refused.

use thiserror::Error;

use crate::accept::AcceptError;
use crate::api::{ApiError, Code};

/// Reason why a call was not run, in a sentence for its caller. Whatever happens after a call was sent is an outcome, not
/// an error.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call itself, the configuration or the table is in the way.
    #[error(transparent)]
    Accept(#[from] AcceptError),
    /// No endpoint has room or answers.
    #[error("All endpoints are busy or unreachable. This request was not run; send it again with the same id.")]
    Busy,
}

impl From<CallError> for ApiError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Accept(error) => error.into(),
            CallError::Busy => Self::new(Code::Busy, error.to_string()),
        }
    }
}
