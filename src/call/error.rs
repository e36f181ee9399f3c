//! Error of a call that was not run.

use thiserror::Error;

use crate::accept::AcceptError;
use crate::api::{ApiError, Code};

/// Reason why a call was not run, as a sentence for the caller. What happens after a call was sent is an outcome, not
/// an error.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request, the configuration or the table prevents the call.
    #[error(transparent)]
    Accept(#[from] AcceptError),
    /// No endpoint has a free slot or can be reached.
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
